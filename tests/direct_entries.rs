//! Entries of another writer in the register of databases.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::direct::table::RowId;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::group::REGISTER;
use lentilspoke::standin::direct::setup::Setup;
use scene::{Scene, db, play};

/// A replica of the first group as an entry that no database wrote.
const ENTRY: &str = r#"{"id":"odd","born":null,"group":"ledger0","address":"10.0.0.9:5000",
    "domain":"domain0","slots":2,"leaving":false,"primary":false}"#;

/// Writes entries that can't be parsed, and others that can and name no database.
fn write_odd_entries(scene: &Scene) {
    let deep = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let odd = [
        deep.clone(),
        ENTRY.replacen("null", &deep, 1),
        ENTRY.replacen("\"slots\":2", "\"slots\":1e400", 1),
        ENTRY.replacen(":5000", ":70000", 1),
        ENTRY.replacen("\"slots\":2", "\"slots\":4294967295", 1),
        ENTRY.replacen("\"slots\":2", "\"slots\":0", 1),
        ENTRY.replacen("null", "18446744073709551615", 1),
        ENTRY.replacen(":5000", ":0", 1),
        ENTRY.replacen(":5000", ":65535", 1),
        ENTRY.replacen("\"primary\":false", "\"primary\":true", 1),
        ENTRY.replacen("ledger0", "unknown", 1),
    ];
    for (number, entry) in odd.into_iter().enumerate() {
        let id = format!("odd{number}");
        let entry = entry.replacen("\"odd\"", &format!("\"{id}\""), 1);
        let row = RowId::new(REGISTER, id);
        scene.world.store.put(row, Some(entry.into_bytes().into()));
    }
}

/// Guards against VMs that end or no longer follow the register once it holds an odd entry: they go
/// on to replace a primary that leaves, and send its successor reads.
#[test]
fn odd_entries_stop_nobody_from_following_the_register() {
    play(Setup::default(), |scene| async move {
        let running = scene.world.running();
        scene.until(3_000).await;
        write_odd_entries(&scene);
        scene.until(5_000).await;
        Fault::Leave(db("db0a"), Span::from_secs(7)).begin(&scene.world);
        scene.passes().await;
        assert_eq!(scene.world.running(), running);
        let events = scene.events();
        assert_eq!(events.failovers.len(), 1);
        let successor = db("db0a.1");
        let served = events.runs.iter().filter(|run| run.database == successor);
        assert!(served.count() > 0, "the successor serves nothing");
        let said = scene.said(3_000, 30_000);
        let failed = said.iter().filter(|said| !said.is_done()).count();
        assert!(failed * 100 <= said.len(), "{failed} of {}", said.len());
    });
}
