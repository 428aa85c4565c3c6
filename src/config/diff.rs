//! The differences of two documents, for an operator whose document was based on an older version.

use super::Document;
use serde_json::Value;

/// One line for each changed value: its path, old value and new value.
pub fn changes(before: &Document, after: &Document) -> Vec<Box<str>> {
    let mut lines = Vec::new();
    let value = |document| serde_json::to_value(document).unwrap_or_default();
    compare("", Some(&value(before)), Some(&value(after)), &mut lines);
    lines
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, lines: &mut Vec<Box<str>>) {
    match (before, after) {
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            let added = after.keys().filter(|key| !before.contains_key(*key));
            for key in before.keys().chain(added) {
                let path = match path {
                    "" => key.clone(),
                    path => format!("{path}.{key}"),
                };
                compare(&path, before.get(key), after.get(key), lines);
            }
        }
        (before, after) if before == after => {}
        (Some(before), Some(after)) => lines.push(format!("{path}: {before} -> {after}").into()),
        (Some(before), None) => lines.push(format!("{path}: {before} removed").into()),
        (None, Some(after)) => lines.push(format!("{path}: {after} added").into()),
        (None, None) => {}
    }
}
