//! Numbers of an entry's settings, in every form in which a template may fill them in.

use std::{path::Path, time::Duration};

use chestnut_relay::RelaySettings;
use rstest::rstest;

/// Parses settings with these values of `entry.files`, `entry.cores`, `extra.window`,
/// `times.grace` and `times.drain`; the error as text.
fn parse(
    files: &str,
    cores: &str,
    window: &str,
    grace: &str,
    drain: &str,
) -> Result<RelaySettings, String> {
    let text = format!(
        r#"
        [entry]
        member = "entry-1"
        domain = "dub-a"
        cores = {cores}
        link = 1e3
        files = {files}
        [listen]
        callers = "127.0.0.1:1"
        readiness = "127.0.0.1:2"
        directory = "127.0.0.1:3"
        peers = "127.0.0.1:4"
        metrics = "127.0.0.1:5"
        [store]
        address = "127.0.0.1:6"
        [extra]
        part = 0.2
        slack = 52.5
        window = "{window}s"
        [limits]
        window = 2.5
        [times]
        grace = "{grace}s"
        drain = "{drain}ms"
        "#
    );
    RelaySettings::parse(&text, Path::new("entry.toml")).map_err(|error| error.to_string())
}

/// Guards against an entry that doesn't start because a bound is a fraction, or a whole number
/// that is written as one.
#[rstest]
#[case("4100", "0.25", "10", "6", "3000")]
#[case("4100.0", "0.25", "10.0", "6.0", "3000.0")]
#[case("4.1e3", "2.5e-1", "1e1", "6e0", "3e3")]
#[case("4100.9", "0.25", "10", "6", "3000")]
fn numbers_are_read_in_every_form(
    #[case] files: &str,
    #[case] cores: &str,
    #[case] window: &str,
    #[case] grace: &str,
    #[case] drain: &str,
) {
    let settings = parse(files, cores, window, grace, drain).unwrap();
    assert_eq!(settings.entry.files, 4100);
    assert!((settings.entry.cores - 0.25).abs() < f64::EPSILON);
    assert_eq!(settings.extra.window, Duration::from_secs(10));
    assert_eq!(settings.times.grace, Duration::from_secs(6));
    assert_eq!(settings.times.drain, Duration::from_secs(3));
}

/// Guards against a bound that is rounded up.
#[test]
fn fractions_of_a_bound_are_kept() {
    let settings = parse("300", "1", "7.5", "6.5", "2999.5").unwrap();
    assert_eq!(settings.extra.window, Duration::from_millis(7500));
    assert_eq!(settings.times.grace, Duration::from_millis(6500));
    assert_eq!(settings.times.drain, Duration::from_micros(2_999_500));
}

/// Guards against an error that doesn't say which value is wrong.
#[rstest]
#[case(["-4100", "1", "10", "6", "3000"], "files = -4100")]
#[case(["true", "1", "10", "6", "3000"], "files = true")]
#[case(["4100", "nan", "10", "6", "3000"], "not NaN and 1000")]
#[case(["4100", "-1", "10", "6", "3000"], "not -1 and 1000")]
#[case(["4100", "1", "-10", "6", "3000"], "\"-10s\"")]
#[case(["4100", "1", "10", "true", "3000"], "grace = \"trues\"")]
#[case(["4100", "1", "10", "6", "1e400"], "drain = \"1e400ms\"")]
fn unsound_numbers_are_refused_with_key_and_value(#[case] values: [&str; 5], #[case] named: &str) {
    let [files, cores, window, grace, drain] = values;
    let error = parse(files, cores, window, grace, drain).unwrap_err();
    assert!(error.contains(named), "{error}");
}
