//! Sizes of quorums, for every small set and tolerance.

use fleet_model::QuorumSizes;

const MOST: usize = 12;

fn each(tell: impl Fn(usize, usize, QuorumSizes)) {
    for machines in 1..=MOST {
        for losses in 0..=MOST {
            tell(
                machines,
                losses,
                QuorumSizes::for_machines(machines, losses).expect("a set with machines has sizes"),
            );
        }
    }
}

/// All sets of so many out of `0..count`, as bits.
fn choices(count: usize, size: usize) -> impl Iterator<Item = u32> {
    (0..1_u32 << count).filter(move |set| set.count_ones() as usize == size)
}

#[test]
fn every_read_meets_every_write_and_every_covering_set_meets_all_copies() {
    each(|machines, losses, sizes| {
        assert!(sizes.replicas <= machines && (1..=sizes.replicas).contains(&sizes.write));
        assert!(sizes.read >= 1 && sizes.covering >= 1);
        assert!(sizes.read + sizes.write > sizes.replicas, "{machines} machines, {losses} losses");
        assert!(sizes.covering + sizes.write > machines, "{machines} machines, {losses} losses");
        assert!(sizes.read <= sizes.covering && sizes.covering <= machines);
        assert!(sizes.absent >= sizes.covering && sizes.absent <= machines);
        assert!(sizes.absent + sizes.covering > machines, "{machines} machines, {losses} losses");
    });
}

#[test]
fn the_sets_themselves_meet() {
    for machines in 1..=6 {
        for losses in 0..=3 {
            let sizes = QuorumSizes::for_machines(machines, losses).unwrap();
            for written in choices(sizes.replicas, sizes.write) {
                assert!(choices(sizes.replicas, sizes.read).all(|read| read & written != 0));
                assert!(choices(machines, sizes.covering).all(|source| source & written != 0));
            }
        }
    }
}

#[test]
fn what_is_written_survives_the_losses_as_far_as_machines_go() {
    each(|machines, losses, sizes| {
        assert_eq!(sizes.losses_survived(), losses.min(machines - 1));
        assert!(sizes.losses_served() <= losses);
        if machines > 2 * losses {
            let majority = losses + 1;
            assert_eq!((sizes.write, sizes.read, sizes.losses_served()), (majority, majority, losses));
            assert_eq!((sizes.covering, sizes.absent), (machines - losses, machines - losses));
        }
    });
}

#[test]
fn sizes_of_small_sets() {
    let of = |machines, losses| {
        QuorumSizes::for_machines(machines, losses)
            .map(|sizes| (sizes.replicas, sizes.write, sizes.read, sizes.covering, sizes.absent))
    };
    assert_eq!(of(0, 1), None);
    assert_eq!(of(1, 1), Some((1, 1, 1, 1, 1)));
    assert_eq!(of(2, 1), Some((2, 2, 1, 1, 2)));
    assert_eq!(of(3, 1), Some((3, 2, 2, 2, 2)));
    assert_eq!(of(3, 2), Some((3, 3, 1, 1, 3)));
    assert_eq!(of(4, 2), Some((4, 3, 2, 2, 3)));
    assert_eq!(of(30, 2), Some((5, 3, 3, 28, 28)));
}
