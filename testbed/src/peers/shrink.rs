//! The smallest part of a schedule that still breaks a promise, by leaving faults out (delta debugging: A. Zeller and
//! R. Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002).

/// Leaves out as many faults as `breaks` lets it; asked with fewer and fewer, it says whether the promise is still broken.
pub async fn smallest<T: Clone>(all: Vec<T>, mut breaks: impl AsyncFnMut(&[T]) -> bool) -> Vec<T> {
    let mut left = all;
    let mut parts = 2;
    while !left.is_empty() {
        let size = left.len().div_ceil(parts);
        let mut smaller = None;
        for begin in (0..left.len()).step_by(size) {
            let end = (begin + size).min(left.len());
            let without: Vec<T> = left[..begin].iter().chain(&left[end..]).cloned().collect();
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
mod tests;
