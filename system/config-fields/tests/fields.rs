//! Lenient fields: accepted values, and findings for missing or invalid ones.

use config_fields::{CollectFindings, Field, Number, field_path};
use googletest::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Default)]
struct Findings(Vec<(String, String)>);

impl CollectFindings for Findings {
    fn add(&mut self, path: String, problem: impl Into<String>) {
        self.0.push((path, problem.into()));
    }
}

impl Findings {
    fn paths(&self) -> Vec<&str> {
        self.0.iter().map(|(path, _)| path.as_str()).collect()
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Form {
    name: Field<String>,
    time_ms: Field<Number>,
    zones: Field<Vec<Field<String>>>,
}

fn form(document: Value) -> Form {
    serde_json::from_value(document).expect("a form takes any fields")
}

fn number(value: Value) -> Option<Number> {
    serde_json::from_value(value).ok()
}

#[gtest]
fn a_valid_document_has_no_findings() {
    let form = form(json!({ "name": "a", "time_ms": 5, "zones": ["x", "y"] }));
    let mut findings = Findings::default();

    expect_that!(findings.required("", "name", form.name), some(eq("a")));
    expect_that!(findings.optional("", "time_ms", form.time_ms), some(eq(Number::Integer(5))));
    expect_that!(findings.list("", "zones", form.zones), elements_are![eq("x"), eq("y")]);
    expect_that!(findings.0, is_empty());
}

#[gtest]
fn every_invalid_field_is_reported_with_its_path() {
    let form = form(json!({ "name": 7, "time_ms": -1, "zones": ["x", 3, null] }));
    let mut findings = Findings::default();

    expect_that!(findings.required("base", "name", form.name), none());
    expect_that!(findings.optional("base", "time_ms", form.time_ms), none());
    expect_that!(findings.list("base", "zones", form.zones), elements_are![eq("x")]);

    let paths = ["base.name", "base.time_ms", "base.zones[1]", "base.zones[2]"];
    expect_that!(findings.paths(), container_eq(paths));
    expect_that!(findings.0[1].1, contains_substring("a number of at least 0"));
    expect_that!(findings.0[3].1, eq("is missing"));
}

#[gtest]
fn absent_and_null_fields_are_reported_only_if_required() {
    for document in [json!({}), json!({ "name": null, "time_ms": null, "zones": null })] {
        let form = form(document);
        let mut findings = Findings::default();

        expect_that!(findings.optional("", "time_ms", form.time_ms), none());
        expect_that!(findings.list("", "zones", form.zones), is_empty());
        expect_that!(findings.required("", "name", form.name), none());
        expect_that!(findings.0, elements_are![eq(&("name".to_owned(), "is missing".to_owned()))]);
    }
}

#[gtest]
fn integers_stay_exact_and_fractions_are_rounded_up() {
    let largest = number(json!(u64::MAX)).expect("a number");
    expect_that!(largest.exact(), some(eq(u64::MAX)));
    expect_that!(largest.rounded_up_u32(), eq(u32::MAX));

    let integral_float = number(json!(60.0)).expect("a number");
    expect_that!(integral_float.exact(), some(eq(60)));
    expect_that!(integral_float.as_f64(), eq(60.0));

    let fraction = number(json!(0.25)).expect("a number");
    expect_that!(fraction.exact(), none());
    expect_that!(fraction.rounded_up(), eq(1));

    let too_large = number(json!(1e30)).expect("a number");
    expect_that!(too_large.exact(), none());
    expect_that!(too_large.rounded_up(), eq(u64::MAX));
}

#[gtest]
fn values_that_are_not_non_negative_numbers_are_rejected() {
    for value in [json!(-1), json!(-0.5), json!("1"), json!(true), json!([1])] {
        expect_that!(number(value.clone()), none(), "{value}");
    }
}

#[gtest]
fn a_field_path_starts_with_its_base_unless_that_is_the_document() {
    expect_that!(field_path("", "name"), eq("name"));
    expect_that!(field_path("limits", "name"), eq("limits.name"));
}
