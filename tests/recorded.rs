//! What deployments give the programs stays in force: the configuration's fields and values, and the adapter's lines.
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

fn recorded(name: &str) -> String {
    let path = format!("{}/tests/recorded/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// A line for each field below `schema` and each value that it may have: its place, and what it holds. Names of the code's
/// types and descriptions are no part of it.
fn list(schema: &Value, root: &Value, place: &str, lines: &mut BTreeSet<String>) {
    if let Some(name) = schema["$ref"].as_str() {
        let target = root.pointer(name.trim_start_matches('#')).expect("a definition");
        list(target, root, place, lines);
    }
    for key in ["type", "const", "enum", "default", "pattern", "minimum", "maximum", "additionalProperties"] {
        if let Some(value) = schema.get(key).filter(|value| !value.is_object()) {
            lines.insert(format!("{place} {key} {value}"));
        }
    }
    for key in ["anyOf", "oneOf", "allOf", "prefixItems"] {
        let parts = schema[key].as_array().into_iter().flatten();
        parts.for_each(|part| list(part, root, place, lines));
    }
    for key in ["items", "additionalProperties"] {
        if let Some(part) = schema.get(key).filter(|part| part.is_object()) {
            list(part, root, &format!("{place}[]"), lines);
        }
    }
    let required = schema["required"].as_array().into_iter().flatten();
    lines.extend(required.map(|name| format!("{place}.{} required", name.as_str().unwrap_or_default())));
    for (name, part) in schema["properties"].as_object().into_iter().flatten() {
        lines.insert(format!("{place}.{name}"));
        list(part, root, &format!("{place}.{name}"), lines);
    }
}

/// Guards against a configuration in service that is refused, or read as something else, by a later version.
#[test]
fn the_configuration_has_the_fields_and_values_of_before() {
    let schema = message_sender::config::schema();
    let mut lines = BTreeSet::new();
    list(&schema, &schema, "", &mut lines);
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    assert_eq!(text, recorded("configuration-fields.txt"));
}

/// Guards against an adapter that no longer reads the simulator's lines or answers in other ones.
#[test]
fn the_adapter_answers_a_conversation_as_before() {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let asked = recorded("adapter-input.jsonl");
    adapter.stdin.take().unwrap().write_all(asked.as_bytes()).unwrap();
    let output = adapter.wait_with_output().unwrap();
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), recorded("adapter-output.jsonl"));
}
