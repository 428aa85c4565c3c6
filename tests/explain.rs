//! `lentilspoke explain`: from a failed request's id to its cause.

use lentilspoke::cmd::{self, Error};
use std::path::PathBuf;

const DIRECTORY: &str = "tests/explain";

fn explain(id: &str, files: &[&str]) -> Result<String, Error> {
    let path = |file: &&str| PathBuf::from(DIRECTORY).join(file).display().to_string();
    let mut words = vec![id.to_owned()];
    words.extend(files.iter().map(path));
    let mut out = Vec::new();
    cmd::explain::run(&words, &mut out)?;
    Ok(String::from_utf8(out).unwrap())
}

/// A caller's request was told outcome unknown, on a recorded day. Its VM was cut off from the
/// store and the steward, and went on under its lease; the steward, on another VM, wrote its intent,
/// and waited for the lease of the silent VM. The lease lapsed while the request ran. The story has
/// the lines of both VMs, and none of other groups or requests.
#[test]
fn an_unknown_outcome_leads_to_the_replacement() {
    insta::assert_snapshot!(explain("198f7ffcf1b54faf", &["day.txt"]).unwrap());
}

/// The same from the VMs' own output: each counts time from its start, and the first line of each
/// tells when that was.
#[test]
fn files_of_several_vms_are_put_in_order() {
    let files = ["front-b-1.txt", "front-a-1.txt"];
    insta::assert_snapshot!(explain("77aa", &files).unwrap());
}

/// A request that was served has no line; the message says what else it may be.
#[test]
fn an_id_without_a_line_is_told() {
    let error = explain("none", &["day.txt"]).unwrap_err();
    insta::assert_snapshot!(error);
}

/// What is left out on the command line is named.
#[test]
fn arguments_are_needed() {
    assert!(matches!(
        explain("198f7ffcf1b54faf", &[]),
        Err(Error::Usage(_))
    ));
}
