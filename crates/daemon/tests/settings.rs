//! The settings check of the daemon.

use std::process::Command;

use rstest::rstest;

const GOOD: &str = r#"
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

#[test]
fn good_settings_are_good() {
    let (status, text) = check("good", GOOD);
    assert_eq!(status, 0, "{text}");
}

#[rstest]
#[case::unknown_key("[control]\nspeed = 1\n", "speed")]
#[case::bad_unit("[control]\nttl = \"5 parsecs\"\n", "ttl")]
#[case::bad_size("[limits]\nbody = \"64\"\n", "64KiB")]
#[case::out_of_range("[control]\nprobe = \"1ms\"\n", "control.probe")]
#[case::clash("[route]\npool = 9\n", "route.pool")]
fn wrong_settings_name_file_key_and_mend(#[case] more: &str, #[case] word: &str) {
    let (status, text) = check(word, &format!("{GOOD}{more}"));
    assert_eq!(status, 2, "{text}");
    assert!(text.contains(word), "{text}");
    assert!(text.contains("chestnutd-"), "{text}");
}

#[test]
fn a_missing_file_is_an_error() {
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
