//! Tests of `chestnutd --check`.

use std::process::Command;

use rstest::rstest;

const VALID: &str = r#"
[entry]
member = "dub-a-1"
domain = "dub-a"
[listen]
callers = "127.0.0.1:7101"
operators = "127.0.0.1:7201"
peers = "127.0.0.1:7301"
[platform]
address = "127.0.0.1:7000"
"#;

/// Runs `chestnutd --check` on `text`; returns its exit status and output.
fn check(name: &str, text: &str) -> (i32, String) {
    let path = std::env::temp_dir().join(format!("chestnutd-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutd"))
        .args(["--check", "--config"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    (output.status.code().unwrap(), text)
}

/// Guards against a check that rejects a minimal valid file.
#[test]
fn valid_settings_pass_the_check() {
    let (status, text) = check("good", VALID);
    assert_eq!(status, 0, "{text}");
}

/// Guards against an error that does not tell the operator which key to fix.
#[rstest]
#[case::unknown_key("[control]\nspeed = 1\n", "speed")]
#[case::bad_unit("[control]\nttl = \"5 parsecs\"\n", "ttl")]
#[case::bad_size("[limits]\nbody = \"64\"\n", "64KiB")]
#[case::out_of_range("[control]\nprobe = \"1ms\"\n", "control.probe")]
#[case::clash("[route]\npool = 9\n", "route.pool")]
fn an_error_names_the_file_and_the_key(#[case] more: &str, #[case] expected: &str) {
    let (status, text) = check(expected, &format!("{VALID}{more}"));
    assert_eq!(status, 2, "{text}");
    assert!(text.contains(expected), "{text}");
    assert!(text.contains("chestnutd-"), "{text}");
}

/// Guards against a daemon that starts with defaults when its settings file is missing.
#[test]
fn a_missing_settings_file_is_an_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutd"))
        .args(["--config", "/nonexistent/chestnut.toml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("can't read /nonexistent/chestnut.toml"),
        "{text}"
    );
}
