//! Aligned columns.

/// A table: a head and rows, each column as wide as its widest cell, two blanks between columns.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let cells: Vec<Vec<&str>> = std::iter::once(head.to_vec())
        .chain(rows.iter().map(|row| row.iter().map(String::as_str).collect()))
        .collect();
    let columns = cells.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            let width = |row: &Vec<&str>| row.get(column).map_or(0, |cell| cell.chars().count());
            cells.iter().map(width).max().unwrap_or_default()
        })
        .collect();
    let mut text = String::new();
    for row in cells {
        let line: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}", width = *width)).collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// An age in words.
pub fn age(age_ms: Option<u64>) -> String {
    match age_ms {
        None => "never".to_owned(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1_000),
        Some(ms) => format!("{} min", ms / 60_000),
    }
}
