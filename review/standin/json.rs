//! A reader of JSON that keeps values as text: enough for the store's objects.

/// Returns the text of the value of `key` in the JSON object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let end = value_end(bytes, at)?;
        let name = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Returns the string value of `key`, without its quotes; escapes stay as they are.
pub fn string<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let value = field(text, key)?;
    value.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position behind the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0;
    let mut in_string = false;
    let mut i = at;
    while i < bytes.len() {
        let byte = bytes[i];
        if in_string {
            match byte {
                b'\\' => i += 1,
                b'"' => in_string = false,
                _ => {}
            }
            if !in_string && depth == 0 {
                return Some(i + 1);
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(i),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(i + 1);
                    }
                }
                b',' if depth == 0 => return Some(i),
                _ => {}
            }
        }
        i += 1;
    }
    (depth == 0 && !in_string).then_some(i)
}
