//! `lentilspoke explain`: finds the cause of a failed request by its id.

use lentilspoke::cmd::{self, Error};
use std::path::PathBuf;

const DIRECTORY: &str = "tests/explain";

fn explain(id: &str, files: &[&str]) -> Result<String, Error> {
    let path = |file: &&str| PathBuf::from(DIRECTORY).join(file).display().to_string();
    let mut arguments = vec![id.to_owned()];
    arguments.extend(files.iter().map(path));
    let mut out = Vec::new();
    cmd::explain::run(&arguments, &mut out)?;
    Ok(String::from_utf8(out).unwrap())
}

/// In these recorded logs, a request's outcome was unknown. Its VM was cut off from the store and the
/// steward and continued under its lease. The steward, on another VM, wrote its intent and waited for
/// the silent VM's lease, which lapsed while the request ran. The report has the lines of both VMs,
/// and none of other groups or requests.
#[test]
fn an_unknown_outcome_leads_to_the_replacement() {
    insta::assert_snapshot!(explain("198f7ffcf1b54faf", &["day.txt"]).unwrap());
}

/// The same for the VMs' own output, in which times count from the start of each process, and the
/// first line gives the time of day of that start.
#[test]
fn files_of_several_vms_are_put_in_order() {
    let files = ["front-b-1.txt", "front-a-1.txt"];
    insta::assert_snapshot!(explain("77aa", &files).unwrap());
}

/// A served request has no line; the message names the other possible reasons.
#[test]
fn an_id_without_a_line_is_told() {
    let error = explain("none", &["day.txt"]).unwrap_err();
    insta::assert_snapshot!(error);
}

/// Missing arguments are a usage error.
#[test]
fn arguments_are_needed() {
    assert!(matches!(
        explain("198f7ffcf1b54faf", &[]),
        Err(Error::Usage(_))
    ));
}
