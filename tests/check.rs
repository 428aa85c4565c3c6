//! `lentilspoke check`: what an operator sees, and the exit code.

mod command;

use command::{File, lentilspoke};

#[test]
fn a_good_file_is_counted() {
    let file = File::new(command::DOCUMENT);
    let said = lentilspoke(&["check", file.path()]);
    insta::assert_snapshot!(file.anonymous(&said), @r#"
    exit 0
    FILE: ok: groups 1, databases 1, pools 1
    "#);
}

#[test]
fn a_wrong_file_is_told_with_its_place() {
    let file = File::new(&command::DOCUMENT.replace("\"slots\": 3", "\"slots\": 26"));
    let said = lentilspoke(&["check", file.path()]);
    insta::assert_snapshot!(file.anonymous(&said), @r#"
    exit 1
    lentilspoke: FILE:5:101: groups.ledger1.databases.a.connections: fewer connections than slots: raise connections or lower slots
    "#);
}

#[test]
fn a_wrong_use_ends_with_2() {
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
        let said = lentilspoke(&[command, "--help"]);
        assert!(said.starts_with("exit 0\n"), "{command}: {said}");
        assert!(said.contains(&format!("Usage: lentilspoke {command}")));
    }
}
