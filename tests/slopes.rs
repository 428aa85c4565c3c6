//! Output of the `slopes` measurements, and the parts of it that must be equal in each run.

mod command;

use command::lentilspoke;
use lentilspoke::slopes::report::Fit;

#[test]
fn a_line_through_exact_points_has_no_error() {
    let points: Vec<(f64, f64)> = (1..5)
        .map(|n| (f64::from(n), f64::from(3 * n + 7)))
        .collect();
    let fit = Fit::of(&points).unwrap();
    assert!((fit.slope - 3.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.base - 7.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.error < 1e-9, "{fit:?}");
}

#[test]
fn the_error_is_the_largest_distance_from_the_line() {
    let fit = Fit::of(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).unwrap();
    assert_eq!((fit.slope, fit.base, fit.error), (0.0, 1.0, 2.0));
}

#[test]
fn one_unit_makes_no_line() {
    assert_eq!(Fit::of(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Fit::of(&[]), None);
}

/// Sizes, messages and bytes of each row; processor time and memory differ between runs.
fn counted(output: &str) -> String {
    let columns = |row: &str| row.split('|').take(2).collect::<Vec<_>>().join("|");
    output.lines().map(columns).collect::<Vec<_>>().join("\n")
}

/// The columns after memory, measured on the virtual clock: in force, lost, moved.
fn timed(output: &str) -> Vec<String> {
    let last = |row: &str| row.rsplit('|').next().map(str::to_owned);
    output.lines().filter_map(last).collect()
}

#[test]
fn control_prints_a_row_for_each_size_and_counts_alike_in_each_run() {
    let words = ["slopes", "control", "--sizes", "3/1,5/2", "--length", "2s"];
    let (first, second) = (lentilspoke(&words), lentilspoke(&words));
    assert!(first.starts_with("exit 0\n"), "{first}");
    assert_eq!(first.lines().count(), 4, "{first}");
    assert_eq!(counted(&first), counted(&second));
    assert_eq!(timed(&first), timed(&second));
}

#[test]
fn without_a_measurement_the_usage_is_told() {
    let output = lentilspoke(&["slopes"]);
    assert!(output.starts_with("exit 2\n"), "{output}");
    assert!(
        output.contains("Usage: lentilspoke slopes MEASUREMENT"),
        "{output}"
    );
    let output = lentilspoke(&["slopes", "sideways"]);
    assert!(output.starts_with("exit 2\n"), "{output}");
}
