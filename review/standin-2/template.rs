//! Fills in the settings template of the deploy file, as far as it uses the template's language:
//! values, values as JSON, and sections that are rendered if there is a value.

use std::collections::BTreeMap;

/// Values by their dotted names, as JSON.
pub type Values = BTreeMap<String, String>;

pub fn fill(template: &str, values: &Values) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let open = text[start..].find("}}").expect("a section's head ends") + start + 2;
        let name = text[start + 3..open - 2].to_owned();
        let tail = format!("{{{{/{name}}}}}");
        let end = text[open..].find(&tail).expect("a section ends") + open;
        let inner = match values.get(&name).map(String::as_str) {
            None | Some("false") => String::new(),
            Some(value) => text[open..end].replace("{{.}}", &plain(value)),
        };
        text = format!("{}{inner}{}", &text[..start], &text[end + tail.len()..]);
    }
    while let Some(start) = text.find("{{") {
        let end = text[start..].find("}}").expect("a placeholder ends") + start;
        let name = &text[start + 2..end];
        let value = match name.strip_suffix("|json") {
            Some(name) => values.get(name).cloned().unwrap_or_default(),
            None => values
                .get(name)
                .map(|value| plain(value))
                .unwrap_or_default(),
        };
        text = format!("{}{value}{}", &text[..start], &text[end + 2..]);
    }
    text
}

/// A value without the quotes of a JSON string.
fn plain(value: &str) -> String {
    value.trim_matches('"').to_owned()
}
