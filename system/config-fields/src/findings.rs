//! Extraction of values from fields, with a finding for each field that is missing or invalid.

use crate::Field;

/// Path of a field within `base`, such as `limits.memory_mb`; `base` is empty for the document itself.
pub fn field_path(base: &str, name: &str) -> String {
    if base.is_empty() { name.to_owned() } else { format!("{base}.{name}") }
}

/// Collector of the problems found in a document.
pub trait CollectFindings {
    /// Adds a finding: the path of a field, and the problem with it.
    fn add(&mut self, path: String, problem: impl Into<String>);

    /// The value of an optional field; `None` if it is absent or invalid, the latter with a finding.
    fn optional<T>(&mut self, base: &str, name: &str, field: Field<T>) -> Option<T> {
        match field {
            Field::Present(value) => Some(value),
            Field::Absent => None,
            Field::Invalid(problem) => {
                self.add(field_path(base, name), problem);
                None
            }
        }
    }

    /// The value of a required field; `None`, with a finding, if it is absent or invalid.
    fn required<T>(&mut self, base: &str, name: &str, field: Field<T>) -> Option<T> {
        if matches!(field, Field::Absent) {
            self.add(field_path(base, name), "is missing");
        }
        self.optional(base, name, field)
    }

    /// The valid items of an optional list, with a finding for each missing or invalid one; empty if the list is absent.
    fn list<T>(&mut self, base: &str, name: &str, field: Field<Vec<Field<T>>>) -> Vec<T> {
        let items = self.optional(base, name, field).unwrap_or_default();
        let items = items.into_iter().enumerate();
        items.filter_map(|(index, item)| self.required(base, &format!("{name}[{index}]"), item)).collect()
    }
}
