use super::*;

/// Lets keepers talk until none has more to say, but for those that are away.
fn talk(keepers: &mut [Option<Keeper>], disks: &mut [KeeperState], rounds: usize) {
    for _ in 0..rounds {
        let mut said = Vec::new();
        for (at, keeper) in keepers.iter_mut().enumerate() {
            let Some(keeper) = keeper else { continue };
            keeper.tick();
            keeper.writes().into_iter().for_each(|record| disks[at].apply(record));
            said.extend(keeper.messages().into_iter().map(|(to, message)| (at as u64 + 1, to, message)));
        }
        for (from, to, message) in said {
            if let Some(keeper) = &mut keepers[to as usize - 1] {
                assert!(keeper.hear(from, message));
                keeper.writes().into_iter().for_each(|record| disks[to as usize - 1].apply(record));
            }
        }
    }
}

/// Lets them talk until one of them leads: what is put to any other may be lost, and would have to be put again.
fn leader(keepers: &mut [Option<Keeper>], disks: &mut [KeeperState]) -> usize {
    for _ in 0..20 {
        talk(keepers, disks, 10);
        if let Some(at) = keepers.iter().position(|k| k.as_ref().is_some_and(Keeper::leads)) {
            return at;
        }
    }
    panic!("nobody leads");
}

fn farewell(folder: u64) -> Change {
    Change::Farewell { folder, why: crate::Farewell::Removed }
}

/// V3: what two of three keepers agreed on is there after one of them has started anew on its disk, and each has the same
/// steps in the same order.
#[test]
fn agreed_steps_outlast_a_keeper() {
    let group = [1, 2, 3];
    let mut disks = vec![KeeperState::default(); 3];
    let mut keepers: Vec<_> = group.iter().map(|own| Keeper::new(1, &group, *own, None)).collect();
    let leading = leader(&mut keepers, &mut disks);
    for step in 10..15 {
        assert!(keepers[leading].as_mut().unwrap().propose(farewell(step)));
    }
    talk(&mut keepers, &mut disks, 10);
    let agreed = keepers[0].as_ref().unwrap().agreed(0);
    assert_eq!(agreed.len(), 5);
    keepers[leading] = None;
    let next = leader(&mut keepers, &mut disks);
    assert!(keepers[next].as_mut().unwrap().propose(farewell(99)));
    talk(&mut keepers, &mut disks, 10);
    keepers[leading] = Keeper::new(1, &group, leading as u64 + 1, Some(&disks[leading]));
    talk(&mut keepers, &mut disks, 40);
    for keeper in keepers.iter().flatten() {
        let all = keeper.agreed(0);
        assert_eq!(all[..5], agreed);
        assert_eq!(all[5..], [farewell(99)]);
    }
}

/// Seed 10221 of `fleet-chaos`: followers that accept a group's end, whose answers are lost, and that ask for it anew, count
/// it once, and the group ends.
#[test]
fn an_end_told_twice_counts_once() {
    let group = [1, 2, 3];
    let mut disks = vec![KeeperState::default(); 3];
    let mut keepers: Vec<_> = group.iter().map(|own| Keeper::new(1, &group, *own, None)).collect();
    let leading = leader(&mut keepers, &mut disks);
    assert!(keepers[leading].as_mut().unwrap().propose(farewell(9)));
    talk(&mut keepers, &mut disks, 10);
    assert!(keepers[leading].as_mut().unwrap().hand_on(&[1, 2, 9]));
    let told = keepers[leading].as_mut().unwrap().messages();
    for (to, message) in told {
        let follower = keepers[to as usize - 1].as_mut().unwrap();
        assert!(follower.hear(leading as u64 + 1, message));
        // Its answer is lost.
        follower.messages();
    }
    for follower in (0..3).filter(|at| *at != leading) {
        for _ in 0..3 {
            keepers[follower].as_mut().unwrap().reconnected(leading as u64 + 1);
            talk(&mut keepers, &mut disks, 2);
        }
    }
    talk(&mut keepers, &mut disks, 10);
    for keeper in keepers.iter().flatten() {
        assert_eq!(keeper.paxos.get_accepted_idx(), 2, "one step and the end");
        let end = Change::Keepers { group: 2, folders: vec![1, 2, 9] };
        assert_eq!(keeper.agreed(0), [farewell(9), end]);
    }
}

/// A group's end is agreed as any step, and names the next group.
#[test]
fn a_group_ends_once() {
    let group = [1, 2, 3];
    let mut disks = vec![KeeperState::default(); 3];
    let mut keepers: Vec<_> = group.iter().map(|own| Keeper::new(1, &group, *own, None)).collect();
    let leading = leader(&mut keepers, &mut disks);
    assert!(keepers[leading].as_mut().unwrap().hand_on(&[1, 2, 9]));
    talk(&mut keepers, &mut disks, 20);
    for keeper in keepers.iter_mut().flatten() {
        assert_eq!(keeper.agreed(0), [Change::Keepers { group: 2, folders: vec![1, 2, 9] }]);
        assert!(!keeper.propose(farewell(1)), "a group that has ended takes no step");
    }
}
