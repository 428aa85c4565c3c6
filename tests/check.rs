//! `lentilspoke check`: its output and exit code.

mod command;

use command::{File, lentilspoke};

#[test]
fn a_valid_file_is_summarised() {
    let file = File::new(command::DOCUMENT);
    let printed = lentilspoke(&["check", file.path()]);
    insta::assert_snapshot!(file.anonymous(&printed), @r#"
    exit 0
    FILE: ok: groups 1, databases 1, pools 1
    "#);
}

#[test]
fn an_invalid_file_is_reported_with_its_location() {
    let file = File::new(&command::DOCUMENT.replace("\"slots\": 3", "\"slots\": 26"));
    let printed = lentilspoke(&["check", file.path()]);
    insta::assert_snapshot!(file.anonymous(&printed), @r#"
    exit 1
    lentilspoke: FILE:5:101: groups.ledger1.databases.a.connections: fewer connections than slots: raise connections or lower slots
    "#);
}

#[test]
fn wrong_usage_is_reported() {
    insta::assert_snapshot!(lentilspoke(&["check"]), @r#"
    exit 2
    lentilspoke: FILE is missing
    "#);
    insta::assert_snapshot!(lentilspoke(&["check", "a", "b"]), @r#"
    exit 2
    lentilspoke: `b` is one word too many
    "#);
    insta::assert_snapshot!(lentilspoke(&["check", "no-such-file"]), @r#"
    exit 1
    lentilspoke: no-such-file can't be read: No such file or directory (os error 2); check the path
    "#);
}

#[test]
fn every_command_has_help() {
    for command in ["check", "apply", "show", "dump"] {
        let printed = lentilspoke(&[command, "--help"]);
        assert!(printed.starts_with("exit 0\n"), "{command}: {printed}");
        assert!(printed.contains(&format!("Usage: lentilspoke {command}")));
    }
}
