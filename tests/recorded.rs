//! Compatibility with deployments: the fields and values of the configuration, and the adapter's input and
//! output.
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

fn recorded(name: &str) -> String {
    let path = format!("{}/tests/recorded/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Adds a line for each field below `schema` and for each constraint on its value, prefixed by the field's
/// path. Names of Rust types and descriptions are left out.
fn list_fields(schema: &Value, root: &Value, path: &str, lines: &mut BTreeSet<String>) {
    if let Some(name) = schema["$ref"].as_str() {
        let target = root.pointer(name.trim_start_matches('#')).expect("a definition");
        list_fields(target, root, path, lines);
    }
    for key in ["type", "const", "enum", "default", "pattern", "minimum", "maximum", "additionalProperties"] {
        if let Some(value) = schema.get(key).filter(|value| !value.is_object()) {
            lines.insert(format!("{path} {key} {value}"));
        }
    }
    for key in ["anyOf", "oneOf", "allOf", "prefixItems"] {
        let parts = schema[key].as_array().into_iter().flatten();
        parts.for_each(|part| list_fields(part, root, path, lines));
    }
    for key in ["items", "additionalProperties"] {
        if let Some(part) = schema.get(key).filter(|part| part.is_object()) {
            list_fields(part, root, &format!("{path}[]"), lines);
        }
    }
    let required = schema["required"].as_array().into_iter().flatten();
    lines.extend(required.map(|name| format!("{path}.{} required", name.as_str().unwrap_or_default())));
    for (name, part) in schema["properties"].as_object().into_iter().flatten() {
        lines.insert(format!("{path}.{name}"));
        list_fields(part, root, &format!("{path}.{name}"), lines);
    }
}

/// Guards against a deployed configuration that a later version rejects or interprets differently.
#[test]
fn configuration_fields_and_values_are_unchanged() {
    let schema = message_sender::config::schema();
    let mut lines = BTreeSet::new();
    list_fields(&schema, &schema, "", &mut lines);
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    assert_eq!(text, recorded("configuration-fields.txt"));
}

/// Guards against an adapter that no longer accepts the simulator's input or that answers it differently.
#[test]
fn the_adapter_answers_a_recorded_conversation_unchanged() {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let input = recorded("adapter-input.jsonl");
    adapter.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let output = adapter.wait_with_output().unwrap();
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), recorded("adapter-output.jsonl"));
}
