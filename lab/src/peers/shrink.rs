//! The smallest part of a schedule that still breaks a promise, by leaving faults out (delta debugging: A. Zeller and
//! R. Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002).
use super::schedule::Fault;

/// Leaves out as many faults as `breaks` lets it; asked with fewer and fewer, it says whether the promise is still broken.
pub async fn smallest(all: Vec<Fault>, mut breaks: impl AsyncFnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut left = all;
    let mut parts = 2;
    while !left.is_empty() {
        let size = left.len().div_ceil(parts);
        let mut smaller = None;
        for begin in (0..left.len()).step_by(size) {
            let end = (begin + size).min(left.len());
            let without: Vec<Fault> = left[..begin].iter().chain(&left[end..]).cloned().collect();
            if breaks(&without).await {
                smaller = Some(without);
                break;
            }
        }
        match smaller {
            Some(without) => {
                left = without;
                parts = (parts - 1).max(2).min(left.len().max(1));
            }
            None if size == 1 => break,
            None => parts = (parts * 2).min(left.len()),
        }
    }
    left
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::peers::schedule::Kind;

    fn fault(at_s: f64) -> Fault {
        Fault { kind: Kind::Kill, at_s, for_s: 1.0, senders: "0".to_owned(), to: None, size: 0.0 }
    }

    /// Of twenty faults two are at fault together; what is left are these, in few plays.
    #[tokio::test]
    async fn what_is_not_needed_is_left_out() {
        let all: Vec<Fault> = (0..20).map(|n| fault(f64::from(n))).collect();
        let mut plays = 0;
        let left = smallest(all.clone(), async |faults: &[Fault]| {
            plays += 1;
            faults.contains(&fault(3.0)) && faults.contains(&fault(17.0))
        });
        assert_eq!(left.await, [fault(3.0), fault(17.0)]);
        assert!(plays < 60, "{plays} plays");
        assert_eq!(smallest(all, async |_: &[Fault]| true).await, [], "one that needs no fault at all");
    }
}
