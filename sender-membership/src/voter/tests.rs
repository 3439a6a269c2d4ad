use super::*;

/// Lets voters talk until none has more to say, but for those that are away.
fn talk(voters: &mut [Option<Voter>], disks: &mut [VoterState], rounds: usize) {
    for _ in 0..rounds {
        let mut said = Vec::new();
        for (at, voter) in voters.iter_mut().enumerate() {
            let Some(voter) = voter else { continue };
            voter.tick();
            voter.writes().into_iter().for_each(|record| disks[at].apply(record));
            said.extend(voter.messages().into_iter().map(|(to, message)| (at as u64 + 1, to, message)));
        }
        for (from, to, message) in said {
            if let Some(voter) = &mut voters[to as usize - 1] {
                assert!(voter.hear(from, message));
                voter.writes().into_iter().for_each(|record| disks[to as usize - 1].apply(record));
            }
        }
    }
}

/// Lets them talk until one of them leads: what is put to any other may be lost, and would have to be put again.
fn leader(voters: &mut [Option<Voter>], disks: &mut [VoterState]) -> usize {
    for _ in 0..20 {
        talk(voters, disks, 10);
        if let Some(at) = voters.iter().position(|k| k.as_ref().is_some_and(Voter::leads)) {
            return at;
        }
    }
    panic!("nobody leads");
}

fn depart(folder: u64) -> Change {
    Change::Departure { folder, why: crate::Departure::Removed }
}

/// V3: what two of three voters agreed on is there after one of them has started anew on its disk, and each has the same
/// steps in the same order.
#[test]
fn agreed_steps_outlast_a_keeper() {
    let group = [1, 2, 3];
    let mut disks = vec![VoterState::default(); 3];
    let mut voters: Vec<_> = group.iter().map(|own| Voter::new(1, &group, *own, None)).collect();
    let leading = leader(&mut voters, &mut disks);
    for step in 10..15 {
        assert!(voters[leading].as_mut().unwrap().propose(depart(step)));
    }
    talk(&mut voters, &mut disks, 10);
    let agreed = voters[0].as_ref().unwrap().agreed(0);
    assert_eq!(agreed.len(), 5);
    voters[leading] = None;
    let next = leader(&mut voters, &mut disks);
    assert!(voters[next].as_mut().unwrap().propose(depart(99)));
    talk(&mut voters, &mut disks, 10);
    voters[leading] = Voter::new(1, &group, leading as u64 + 1, Some(&disks[leading]));
    talk(&mut voters, &mut disks, 40);
    for voter in voters.iter().flatten() {
        let all = voter.agreed(0);
        assert_eq!(all[..5], agreed);
        assert_eq!(all[5..], [depart(99)]);
    }
}

/// Seed 10221 of `fleet-chaos`: followers that accept a group's end, whose answers are lost, and that ask for it anew, count
/// it once, and the group ends.
#[test]
fn an_end_told_twice_counts_once() {
    let group = [1, 2, 3];
    let mut disks = vec![VoterState::default(); 3];
    let mut voters: Vec<_> = group.iter().map(|own| Voter::new(1, &group, *own, None)).collect();
    let leading = leader(&mut voters, &mut disks);
    assert!(voters[leading].as_mut().unwrap().propose(depart(9)));
    talk(&mut voters, &mut disks, 10);
    assert!(voters[leading].as_mut().unwrap().hand_on(&[1, 2, 9]));
    let told = voters[leading].as_mut().unwrap().messages();
    for (to, message) in told {
        let follower = voters[to as usize - 1].as_mut().unwrap();
        assert!(follower.hear(leading as u64 + 1, message));
        // Its answer is lost.
        follower.messages();
    }
    for follower in (0..3).filter(|at| *at != leading) {
        for _ in 0..3 {
            voters[follower].as_mut().unwrap().reconnected(leading as u64 + 1);
            talk(&mut voters, &mut disks, 2);
        }
    }
    talk(&mut voters, &mut disks, 10);
    for voter in voters.iter().flatten() {
        assert_eq!(voter.paxos.get_accepted_idx(), 2, "one step and the end");
        let end = Change::Voters { group: 2, folders: vec![1, 2, 9] };
        assert_eq!(voter.agreed(0), [depart(9), end]);
    }
}

/// A group's end is agreed as any step, and names the next group.
#[test]
fn a_group_ends_once() {
    let group = [1, 2, 3];
    let mut disks = vec![VoterState::default(); 3];
    let mut voters: Vec<_> = group.iter().map(|own| Voter::new(1, &group, *own, None)).collect();
    let leading = leader(&mut voters, &mut disks);
    assert!(voters[leading].as_mut().unwrap().hand_on(&[1, 2, 9]));
    talk(&mut voters, &mut disks, 20);
    for voter in voters.iter_mut().flatten() {
        assert_eq!(voter.agreed(0), [Change::Voters { group: 2, folders: vec![1, 2, 9] }]);
        assert!(!voter.propose(depart(1)), "a group that has ended takes no step");
    }
}
