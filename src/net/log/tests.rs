use super::*;

fn bounded(form: Form, rate: u32) -> Bounded {
    Bounded {
        form,
        rate,
        sender: "n\"1".to_owned(),
        sites: Mutex::default(),
        stderr: Stderr { polls: false },
    }
}

/// Guards against appended fields that make a line invalid in its format.
#[test]
fn appended_fields_keep_each_format_valid() {
    let finished = |form, line: &str, left_out| {
        let mut line = line.to_owned();
        bounded(form, 1).finish(&mut line, left_out, 0);
        line
    };
    assert_eq!(finished(Form::Plain, "listening\n", 0), "listening\n");
    assert_eq!(finished(Form::Plain, "listening\n", 3), "listening left_out=3\n");
    assert_eq!(finished(Form::Logfmt, "level=info\n", 0), "level=info sender=n\"1\n");
    let json: serde_json::Value =
        serde_json::from_str(&finished(Form::Json, "{\"message\":\"a\"}\n", 2)).unwrap();
    assert_eq!(json, serde_json::json!({"message": "a", "sender": "n\"1", "left_out": 2}));
}
