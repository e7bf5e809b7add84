//! Numbers and durations in every form in which other systems write them.

use std::time::Duration;

use chestnut_unit::{Number, parse_duration};
use rstest::rstest;

/// Guards against a number that is refused for the form in which it is written.
#[rstest]
#[case("7", 7)]
#[case("7.0", 7)]
#[case("7.000", 7)]
#[case("7e0", 7)]
#[case("0.7e1", 7)]
#[case("1e3", 1000)]
#[case("1E+3", 1000)]
#[case("-0.0", 0)]
#[case("18446744073709551615", u64::MAX)]
fn whole_numbers_are_read_in_every_form(#[case] text: &str, #[case] number: u64) {
    let parsed: Number = text.parse().unwrap();
    assert_eq!(parsed.whole::<u64>(), Ok(number));
    if number < u64::MAX {
        let read: Number = serde_json::from_str(text.strip_prefix('-').unwrap_or(text)).unwrap();
        assert_eq!(read.floor::<u64>(), Ok(number));
        assert_eq!(read.ceil::<u64>(), Ok(number));
    }
}

/// Guards against a bound that is exceeded by rounding.
#[test]
fn fractions_are_rounded_to_the_side_that_is_asked_for() {
    let number = Number::new(2.5).unwrap();
    assert_eq!(number.floor::<u32>(), Ok(2));
    assert_eq!(number.ceil::<u32>(), Ok(3));
    let error = number.whole::<u32>().unwrap_err();
    assert_eq!(error.to_string(), "2.5 is not a whole number");
}

/// Guards against a number that is silently changed because it can't be held.
#[rstest]
#[case("-1", "-1 is negative, 0 or more is needed")]
#[case("-0.5", "-0.5 is negative, 0 or more is needed")]
#[case("1e999", "inf is not finite")]
#[case("5e9", "5000000000 is too large, 4294967295 at most")]
#[case("1e300", "1e300 is too large, 4294967295 at most")]
#[case("", "\"\" is not a number")]
#[case("inf", "\"inf\" is not a number")]
#[case("NaN", "\"NaN\" is not a number")]
#[case("+7", "\"+7\" is not a number")]
#[case("7.", "\"7.\" is not a number")]
#[case("0x7", "\"0x7\" is not a number")]
fn unsound_numbers_are_refused_with_their_value(#[case] text: &str, #[case] error: &str) {
    let number = text
        .parse::<Number>()
        .and_then(|number| number.floor::<u32>());
    assert_eq!(number.unwrap_err().to_string(), error);
}

/// Guards against an identifier that is rounded to another one.
#[test]
fn whole_numbers_beyond_the_exact_ones_are_refused() {
    let number = Number::new(1e17).unwrap();
    assert!(number.whole::<u64>().is_err());
    assert_eq!(number.floor::<u64>(), Ok(100_000_000_000_000_000));
    assert!(Number::new(1.9e19).unwrap().floor::<u64>().is_err());
}

/// Guards against settings that are refused because a time is a fraction.
#[rstest]
#[case("6.5s", Duration::from_millis(6500))]
#[case("6.0s", Duration::from_secs(6))]
#[case("1e3ms", Duration::from_secs(1))]
#[case("2999.5ms", Duration::from_micros(2_999_500))]
#[case("0.5m", Duration::from_secs(30))]
#[case("1.5 h", Duration::from_secs(5400))]
#[case("52ms", Duration::from_millis(52))]
fn durations_are_read_in_every_form(#[case] text: &str, #[case] duration: Duration) {
    assert_eq!(parse_duration(text), Ok(duration));
}

/// Guards against a time that is silently taken for another one.
#[rstest]
#[case("-6s")]
#[case("6.5")]
#[case("s")]
#[case("trues")]
#[case("infs")]
#[case("6.5d")]
#[case("1e30s")]
#[case("18446744073709551615h")]
fn unsound_durations_are_refused(#[case] text: &str) {
    let error = parse_duration(text).unwrap_err().to_string();
    assert!(error.contains(&format!("{text:?}")), "{error}");
}
