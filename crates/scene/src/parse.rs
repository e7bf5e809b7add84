//! Splits the lines of a scenario into words.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use chestnut_unit::parse_duration;
use nom::{
    IResult, Parser,
    branch::alt,
    bytes::complete::{tag, take_while1},
    character::complete::{space0, space1},
    combinator::{all_consuming, map, opt, rest},
    multi::separated_list0,
    sequence::{preceded, separated_pair, terminated},
};

/// A word of a line: `text`, or a key and its value in `key=value`.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Word {
    Bare(String),
    Pair(String, String),
}

/// Unread words of a line: bare ones in order, and `key=value` pairs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Words {
    bare: Vec<String>,
    pairs: BTreeMap<String, String>,
    next: usize,
}

/// Matches a run of characters other than whitespace, `=` and `#`.
fn text(input: &str) -> IResult<&str, &str> {
    take_while1(|c: char| !c.is_whitespace() && c != '=' && c != '#').parse(input)
}

/// Matches `key=value` or a bare word.
fn word(input: &str) -> IResult<&str, Word> {
    let pair = separated_pair(text, tag("="), text);
    alt((
        map(pair, |(key, value): (&str, &str)| {
            Word::Pair(key.to_owned(), value.to_owned())
        }),
        map(text, |bare: &str| Word::Bare(bare.to_owned())),
    ))
    .parse(input)
}

/// Matches a whole line: words separated by spaces, then an optional comment.
fn line(input: &str) -> IResult<&str, Vec<Word>> {
    let comment = opt(preceded(tag("#"), rest));
    let words = separated_list0(space1, word);
    all_consuming(terminated(preceded(space0, words), (space0, comment))).parse(input)
}

/// Splits a line into words; a `#` starts a comment, and the last value of a
/// repeated key counts. Fails on a syntax error.
pub(crate) fn words(input: &str) -> Result<Words, String> {
    let (_, list) = line(input).map_err(|e| format!("syntax error: {e}"))?;
    let mut words = Words::default();
    for word in list {
        match word {
            Word::Bare(text) => words.bare.push(text),
            Word::Pair(key, value) => {
                words.pairs.insert(key, value);
            }
        }
    }
    Ok(words)
}

impl Words {
    /// Returns whether the line has no words.
    pub(crate) fn is_empty(&self) -> bool {
        self.bare.is_empty() && self.pairs.is_empty()
    }

    /// Reads the next bare word. Fails if there is none; `what` names it in the error.
    pub(crate) fn next(&mut self, what: &str) -> Result<String, String> {
        let word = self.bare.get(self.next).cloned();
        self.next += 1;
        word.ok_or_else(|| format!("{what} is missing"))
    }

    /// Reads and parses the next bare word. Fails if it is missing or not a valid `T`;
    /// `what` names it in the error.
    pub(crate) fn parse<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let word = self.next(what)?;
        word.parse().map_err(|_| format!("{word:?} is not {what}"))
    }

    /// Reads the next bare word as a duration, such as `5s`. Fails if it is missing or invalid.
    pub(crate) fn span(&mut self, what: &str) -> Result<Duration, String> {
        parse_duration(&self.next(what)?).map_err(|e| e.to_string())
    }

    /// Consumes the next bare word if it is `word`; returns whether it was.
    pub(crate) fn take(&mut self, word: &str) -> bool {
        let found = self.bare.get(self.next).is_some_and(|w| w == word);
        self.next += usize::from(found);
        found
    }

    /// Removes and returns the value of a key, if it is given.
    pub(crate) fn pair(&mut self, key: &str) -> Option<String> {
        self.pairs.remove(key)
    }

    /// Removes and parses the value of a key; `default` if it is not given. Fails if
    /// the value is invalid.
    pub(crate) fn pair_or<T: FromStr>(&mut self, key: &str, default: T) -> Result<T, String> {
        match self.pair(key) {
            None => Ok(default),
            Some(value) => value
                .parse()
                .map_err(|_| format!("{key}={value} is not a valid value")),
        }
    }

    /// Removes the value of a key and parses it as a duration; `unset` if it is not
    /// given. Fails if the value is invalid.
    pub(crate) fn span_or(&mut self, key: &str, unset: Duration) -> Result<Duration, String> {
        self.pair(key)
            .map_or(Ok(unset), |v| parse_duration(&v).map_err(|e| e.to_string()))
    }

    /// Fails if words are left unread.
    pub(crate) fn done(&self) -> Result<(), String> {
        if let Some(word) = self.bare.get(self.next) {
            return Err(format!("unexpected word {word:?}"));
        }
        match self.pairs.keys().next() {
            Some(key) => Err(format!("unexpected key {key}=")),
            None => Ok(()),
        }
    }
}
