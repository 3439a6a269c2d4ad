use super::*;
use crate::peers::schedule::Fault;
use crate::peers::schedule::Kind;

fn fault(at_s: f64) -> Fault {
    Fault { kind: Kind::Kill, at_s, for_s: 1.0, senders: "0".to_owned(), to: None, size: 0.0 }
}

/// Of twenty faults two are at fault together; what is left are these, in few runs.
#[tokio::test]
async fn what_is_not_needed_is_left_out() {
    let all: Vec<Fault> = (0..20).map(|n| fault(f64::from(n))).collect();
    let mut runs = 0;
    let left = smallest(all.clone(), async |faults: &[Fault]| {
        runs += 1;
        faults.contains(&fault(3.0)) && faults.contains(&fault(17.0))
    });
    assert_eq!(left.await, [fault(3.0), fault(17.0)]);
    assert!(runs < 60, "{runs} plays");
    assert_eq!(smallest(all, async |_: &[Fault]| true).await, [], "one that needs no fault at all");
}
