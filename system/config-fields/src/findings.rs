//! Taking values out of fields, and noting what is wrong with them.

use crate::Field;

/// A place within `base`; `base` is empty for the document as a whole.
pub fn field_path(base: &str, name: &str) -> String {
    if base.is_empty() { name.to_owned() } else { format!("{base}.{name}") }
}

/// A list of what is wrong with a document.
pub trait CollectFindings {
    /// Adds a finding.
    fn add(&mut self, place: String, what: impl Into<String>);

    /// The field's value, or `None` if it is absent or wrong, the latter with a finding.
    fn optional<T>(&mut self, base: &str, name: &str, field: Field<T>) -> Option<T> {
        match field {
            Field::Read(value) => Some(value),
            Field::Absent => None,
            Field::Wrong(what) => {
                self.add(field_path(base, name), what);
                None
            }
        }
    }

    /// The field's value, or `None` with a finding.
    fn required<T>(&mut self, base: &str, name: &str, field: Field<T>) -> Option<T> {
        if matches!(field, Field::Absent) {
            self.add(field_path(base, name), "is missing");
        }
        self.optional(base, name, field)
    }

    /// The values of a list, without those that are missing or wrong; empty if the list is absent.
    fn list<T>(&mut self, base: &str, name: &str, field: Field<Vec<Field<T>>>) -> Vec<T> {
        let items = self.optional(base, name, field).unwrap_or_default();
        let items = items.into_iter().enumerate();
        items.filter_map(|(index, item)| self.required(base, &format!("{name}[{index}]"), item)).collect()
    }
}
