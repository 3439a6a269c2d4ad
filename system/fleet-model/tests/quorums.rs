//! Intersection properties of the quorum sizes, for every small set of nodes and number of tolerated losses.

use fleet_model::QuorumSizes;

/// Largest number of nodes and of losses that is checked.
const MAX_NODES: usize = 12;

fn for_each_size(check: impl Fn(usize, usize, QuorumSizes)) {
    for machines in 1..=MAX_NODES {
        for losses in 0..=MAX_NODES {
            check(
                machines,
                losses,
                QuorumSizes::for_machines(machines, losses).expect("a non-empty set has quorum sizes"),
            );
        }
    }
}

/// All subsets of `0..count` with `size` elements, as bit masks.
fn subsets(count: usize, size: usize) -> impl Iterator<Item = u32> {
    (0..1_u32 << count).filter(move |set| set.count_ones() as usize == size)
}

#[test]
fn read_and_covering_quorums_intersect_every_write_quorum() {
    for_each_size(|machines, losses, sizes| {
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
fn subsets_of_the_quorum_sizes_intersect() {
    for machines in 1..=6 {
        for losses in 0..=3 {
            let sizes = QuorumSizes::for_machines(machines, losses).unwrap();
            for written in subsets(sizes.replicas, sizes.write) {
                assert!(subsets(sizes.replicas, sizes.read).all(|read| read & written != 0));
                assert!(subsets(machines, sizes.covering).all(|covering| covering & written != 0));
            }
        }
    }
}

#[test]
fn a_write_quorum_survives_the_tolerated_losses_of_a_large_enough_set() {
    for_each_size(|machines, losses, sizes| {
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
fn quorum_sizes_of_small_sets() {
    let sizes = |machines, losses| {
        QuorumSizes::for_machines(machines, losses)
            .map(|sizes| (sizes.replicas, sizes.write, sizes.read, sizes.covering, sizes.absent))
    };
    assert_eq!(sizes(0, 1), None);
    assert_eq!(sizes(1, 1), Some((1, 1, 1, 1, 1)));
    assert_eq!(sizes(2, 1), Some((2, 2, 1, 1, 2)));
    assert_eq!(sizes(3, 1), Some((3, 2, 2, 2, 2)));
    assert_eq!(sizes(3, 2), Some((3, 3, 1, 1, 3)));
    assert_eq!(sizes(4, 2), Some((4, 3, 2, 2, 3)));
    assert_eq!(sizes(30, 2), Some((5, 3, 3, 28, 28)));
}
