use super::*;

/// Exchanges messages between the voters for some rounds; a voter that is `None` is down.
fn exchange_messages(voters: &mut [Option<Voter>], disks: &mut [VoterState], rounds: usize) {
    for _ in 0..rounds {
        let mut messages = Vec::new();
        for (index, voter) in voters.iter_mut().enumerate() {
            let Some(voter) = voter else { continue };
            voter.tick();
            voter.take_records().into_iter().for_each(|record| disks[index].apply(record));
            messages.extend(
                voter.take_messages().into_iter().map(|(to, message)| (index as u64 + 1, to, message)),
            );
        }
        for (from, to, message) in messages {
            if let Some(voter) = &mut voters[to as usize - 1] {
                assert!(voter.handle_message(from, message));
                voter.take_records().into_iter().for_each(|record| disks[to as usize - 1].apply(record));
            }
        }
    }
}

/// Exchanges messages until a voter is the leader, and returns its index. A proposal to any other voter may be lost.
fn elect_leader(voters: &mut [Option<Voter>], disks: &mut [VoterState]) -> usize {
    for _ in 0..20 {
        exchange_messages(voters, disks, 10);
        if let Some(index) = voters.iter().position(|voter| voter.as_ref().is_some_and(Voter::is_leader)) {
            return index;
        }
    }
    panic!("no voter became the leader");
}

fn departure(folder: u64) -> Change {
    Change::Departure { folder, why: crate::Departure::Removed }
}

/// V3: changes that were decided before and during the outage of one of three voters are there after it restarts from its
/// disk, and all voters have the same changes in the same order.
#[test]
fn decided_changes_survive_the_restart_of_a_voter() {
    let group = [1, 2, 3];
    let mut disks = vec![VoterState::default(); 3];
    let mut voters: Vec<_> = group.iter().map(|own| Voter::new(1, &group, *own, None)).collect();
    let leader = elect_leader(&mut voters, &mut disks);
    for folder in 10..15 {
        assert!(voters[leader].as_mut().unwrap().propose(departure(folder)));
    }
    exchange_messages(&mut voters, &mut disks, 10);
    let decided = voters[0].as_ref().unwrap().decided(0);
    assert_eq!(decided.len(), 5);
    voters[leader] = None;
    let new_leader = elect_leader(&mut voters, &mut disks);
    assert!(voters[new_leader].as_mut().unwrap().propose(departure(99)));
    exchange_messages(&mut voters, &mut disks, 10);
    voters[leader] = Voter::new(1, &group, leader as u64 + 1, Some(&disks[leader]));
    exchange_messages(&mut voters, &mut disks, 40);
    for voter in voters.iter().flatten() {
        let changes = voter.decided(0);
        assert_eq!(changes[..5], decided);
        assert_eq!(changes[5..], [departure(99)]);
    }
}

/// Seed 10221 of `fleet-chaos`: followers accept a stop sign, their answers are lost, and they request the log again. Each
/// must count the stop sign once, and the group must end.
#[test]
fn a_repeated_stop_sign_counts_once() {
    let group = [1, 2, 3];
    let mut disks = vec![VoterState::default(); 3];
    let mut voters: Vec<_> = group.iter().map(|own| Voter::new(1, &group, *own, None)).collect();
    let leader = elect_leader(&mut voters, &mut disks);
    assert!(voters[leader].as_mut().unwrap().propose(departure(9)));
    exchange_messages(&mut voters, &mut disks, 10);
    assert!(voters[leader].as_mut().unwrap().end_group(&[1, 2, 9]));
    let messages = voters[leader].as_mut().unwrap().take_messages();
    for (to, message) in messages {
        let follower = voters[to as usize - 1].as_mut().unwrap();
        assert!(follower.handle_message(leader as u64 + 1, message));
        // The follower's answer is lost.
        follower.take_messages();
    }
    for follower in (0..3).filter(|index| *index != leader) {
        for _ in 0..3 {
            voters[follower].as_mut().unwrap().reconnected(leader as u64 + 1);
            exchange_messages(&mut voters, &mut disks, 2);
        }
    }
    exchange_messages(&mut voters, &mut disks, 10);
    for voter in voters.iter().flatten() {
        assert_eq!(voter.paxos.get_accepted_idx(), 2, "one change and the stop sign");
        let end = Change::Voters { group: 2, folders: vec![1, 2, 9] };
        assert_eq!(voter.decided(0), [departure(9), end]);
    }
}

/// The end of a group is decided like a change, names the next group, and no change is accepted after it.
#[test]
fn a_stop_sign_ends_the_group() {
    let group = [1, 2, 3];
    let mut disks = vec![VoterState::default(); 3];
    let mut voters: Vec<_> = group.iter().map(|own| Voter::new(1, &group, *own, None)).collect();
    let leader = elect_leader(&mut voters, &mut disks);
    assert!(voters[leader].as_mut().unwrap().end_group(&[1, 2, 9]));
    exchange_messages(&mut voters, &mut disks, 20);
    for voter in voters.iter_mut().flatten() {
        assert_eq!(voter.decided(0), [Change::Voters { group: 2, folders: vec![1, 2, 9] }]);
        assert!(!voter.propose(departure(1)), "a group that has ended accepts no change");
    }
}
