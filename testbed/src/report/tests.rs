use super::*;
use crate::scenario::Scenario;
use crate::sim::simulate;

#[test]
fn a_page_holds_all_variants_and_marks_what_was_cut_short() {
    let scenario = Scenario::parse("name = \"<t>\"\nseconds = 5.0").unwrap();
    let variants = ["a", "b"].map(|name| Variant { name: name.to_owned(), ..Variant::default() });
    let mut results: Vec<_> = variants.iter().map(|v| simulate(&scenario, v, 1).unwrap().0).collect();
    let page = html(&scenario.name, &results, &variants).unwrap();
    assert!(page.contains("&lt;t&gt;") && !page.contains("<t>") && !page.contains("cut short"), "{page}");
    assert_eq!(page.matches("<svg").count(), 3 + 2 * 2);
    results[1].cut_short = true;
    assert!(html("t", &results, &variants).unwrap().contains("Partial report: 1 of"));
}
