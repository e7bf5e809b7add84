//! Parser of the metrics of an entry (OpenMetrics text).

use std::collections::BTreeMap;

use displaydoc::Display;

/// The last line of a complete text.
const END: &str = "# EOF";

/// Why a text can't be read: it is cut off, or a line has another form.
#[derive(Debug, PartialEq, Eq, Display)]
pub(crate) enum MetricsError {
    /// the metrics are cut off
    CutOff,
    /// line {0} of the metrics can't be read
    Line(usize),
}

/// The value of one series: name, labels and value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sample {
    pub(crate) name: String,
    pub(crate) labels: BTreeMap<String, String>,
    pub(crate) value: f64,
}

impl Sample {
    /// Returns the value of a label, empty without it.
    pub(crate) fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}

/// Parses a text into its samples. Fails if it doesn't end with [`END`], or at the first line
/// that is neither a comment nor a sample.
pub(crate) fn parse(text: &str) -> Result<Vec<Sample>, MetricsError> {
    if text.trim_end().lines().last() != Some(END) {
        return Err(MetricsError::CutOff);
    }
    let lines = text.lines().enumerate();
    let samples = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    samples
        .map(|(at, line)| sample(line).ok_or(MetricsError::Line(at + 1)))
        .collect()
}

/// Parses `name{label="value",...} value`; what follows the value (a time stamp, an exemplar) is
/// ignored. `None` if the line has another form.
fn sample(line: &str) -> Option<Sample> {
    let end = line.find(['{', ' '])?;
    let (name, rest) = line.split_at(end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => labels(rest)?,
        None => (BTreeMap::new(), rest),
    };
    let value = rest.split_ascii_whitespace().next()?.parse().ok()?;
    (!name.is_empty()).then(|| Sample {
        name: name.to_owned(),
        labels,
        value,
    })
}

/// Parses labels up to the closing brace, and returns them with the text behind it.
fn labels(mut text: &str) -> Option<(BTreeMap<String, String>, &str)> {
    let mut labels = BTreeMap::new();
    loop {
        if let Some(rest) = text.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, rest) = text.split_once("=\"")?;
        let (value, rest) = quoted(rest)?;
        labels.insert(name.to_owned(), value);
        text = rest.strip_prefix(',').unwrap_or(rest);
    }
}

/// Parses the value of a label up to the closing quote, and returns it with the text behind it.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => value.push(match chars.next()?.1 {
                'n' => '\n',
                other => other,
            }),
            other => value.push(other),
        }
    }
    None
}
