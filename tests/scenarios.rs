//! Runs the scenarios: scripts of requests, faults and time, with the answers that callers receive.
//!
//! `REWRITE=1 cargo test --test scenarios` rewrites the expected output; review the difference.

use lentilspoke::standin::fake::script::Player;

const PROXIES: usize = 3;

#[test]
fn scenarios_tell_callers_what_they_told_before() {
    datadriven::walk("tests/scenarios", |file| {
        let mut player = Player::new(PROXIES).unwrap();
        file.run(|case| -> String {
            assert_eq!(case.directive, "play");
            player.play(&case.input).unwrap()
        });
    });
}
