//! Parsing the operator's manifest and the entries of the databases' register.

use crate::platform::documents::documents;
use lentilspoke::types::Birth;
use quickcheck::quickcheck;
use std::fmt::Write;

const MANIFEST: &str = r#"{"version":7,"new":{"field":1},"routes":[
    {"name":"r-1","host":"fiti832","path_prefix":"/","kind":"read_your_writes","timeout_ms":800,
     "target_latency_ms":500,"priority":2,"service":"huvo11a","max_attempts":2,"max_staleness_ms":2500},
    {"name":"r-2","host":"lepu270","kind":"primary","timeout_ms":800.5,"target_latency_ms":300,
     "priority":1,"service":"huvo11a"}],
    "services":[{"name":"huvo11a","max_conns":23,"sync_replicas":1}],"limits":{"tx_idle_ms":3000}}"#;

const ENTRY: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"msa-hall","version":"v1",
    "slots":3,"state":"ready","cold_ms":0,"db_role":"replica","seq":4}"#;

#[test]
fn a_manifest_is_read_whole_or_not_at_all() {
    let read = documents().read_config;
    insta::assert_debug_snapshot!(read(MANIFEST.as_bytes()).unwrap(), @r#"
    Config {
        version: Version(
            7,
        ),
        routes: {
            "fiti832": Route {
                group: GroupId(
                    "huvo11a",
                ),
                kind: Session(
                    Span(
                        2500000,
                    ),
                ),
                timeout: Span(
                    800000,
                ),
                objective: Span(
                    500000,
                ),
                priority: 2,
                public: false,
            },
            "lepu270": Route {
                group: GroupId(
                    "huvo11a",
                ),
                kind: Primary,
                timeout: Span(
                    800500,
                ),
                objective: Span(
                    300000,
                ),
                priority: 1,
                public: false,
            },
        },
        groups: {
            GroupId(
                "huvo11a",
            ): Group {
                connections: 23,
                durable: true,
            },
        },
        idle: Span(
            3000000,
        ),
        organisations: None,
    }
    "#);
    let edits = [
        ("\"primary\"", "\"secondary\""),
        ("\"timeout_ms\":800,", "\"timeout_ms\":-1,"),
        ("\"service\":\"huvo11a\"}]", "\"service\":\"gone\"}]"),
        ("\"name\":\"huvo11a\"", "\"name\":\"hu vo\""),
        ("\"version\":7,", ""),
        ("{\"version\"", "[\"version\""),
    ];
    let mut seen = String::new();
    for (from, to) in edits {
        assert!(MANIFEST.contains(from), "{from}");
        let refused = read(MANIFEST.replace(from, to).as_bytes()).unwrap_err();
        writeln!(seen, "{to}: {refused}").unwrap();
    }
    insta::assert_snapshot!(seen, @r#"
    "secondary": unknown variant `secondary`, expected one of `primary`, `bounded_staleness`, `read_your_writes` at line 4 column 53
    "timeout_ms":-1,: -1 ms is not a span of time
    "service":"gone"}]: route lepu270 names no service of the manifest
    "name":"hu vo": `hu vo` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`
    : missing field `version` at line 6 column 98
    ["version": invalid type: string "version", expected u64 at line 1 column 10
    "#);
}

/// Organisations are parsed from the manifest's tenants, and the error of a malformed tenant shows no
/// key.
#[test]
fn tenants_are_read_and_their_keys_never_shown() {
    let read = |tenants: &str| {
        let manifest = MANIFEST.trim_end();
        let open = manifest.strip_suffix('}').unwrap();
        (documents().read_config)(format!("{open},\"tenants\":{tenants}}}").as_bytes())
    };
    let config = read(
        r#"[{"name":"halls","api_keys":["copper","zinc"],"rate_per_s":2.5,"burst":10,"priority":1},
            {"name":"ports","api_keys":[]}]"#,
    );
    let organisations = config.unwrap().organisations.unwrap();
    insta::assert_debug_snapshot!(organisations, @r#"
    Organisations {
        keys: {
            Key(d16f06fe): OrganisationId(
                "halls",
            ),
            Key(f78ea752): OrganisationId(
                "halls",
            ),
        },
        allowances: {
            OrganisationId(
                "halls",
            ): Allowance {
                rate: Rate(
                    2500,
                ),
                burst: 10,
            },
        },
    }
    "#);
    for tenants in [
        r#""copper""#,
        r#"[{"name":"halls","api_keys":"copper"}]"#,
        r#"["copper"]"#,
        r#"[{"api_keys":["copper"]}]"#,
    ] {
        let refused = read(tenants).unwrap_err();
        assert!(!refused.contains("copper"), "{refused}");
    }
    assert!(read(r#"[{"name":"halls","rate_per_s":-1}]"#).is_err());
    assert!(read("[]").unwrap().organisations.is_some());
}

#[test]
fn an_entry_is_read() {
    let read = documents().read_database;
    let entry = read("i-7f3a91c2", ENTRY.as_bytes()).unwrap();
    insta::assert_debug_snapshot!(entry, @r#"
    Database {
        id: DatabaseId(
            "i-7f3a91c2",
        ),
        born: None,
        group: GroupId(
            "huvo11a",
        ),
        address: 10.128.0.9:8080,
        domain: Domain(
            "msa-hall",
        ),
        slots: 3,
        leaving: false,
        primary: false,
    }
    "#);
    let draining = ENTRY
        .replace("\"ready\"", "\"draining\"")
        .replace("replica", "primary");
    let entry = read("i-7f3a91c2", draining.as_bytes()).unwrap();
    assert!(entry.leaving && entry.primary);
    assert!(read("i 7", ENTRY.as_bytes()).is_err());
    assert!(read("i-7", ENTRY.replace(":8080", "").as_bytes()).is_err());
}

/// Something other than a database writes entries to the register: a field is missing or has another
/// type, or a value is unknown. Such an entry is rejected, so that no caller is sent to it.
#[test]
fn an_entry_of_another_writer_is_rejected() {
    let read = documents().read_database;
    let entry: serde_json::Value = serde_json::from_str(ENTRY).unwrap();
    let fields = entry.as_object().unwrap();
    let with = |field: &str, value: serde_json::Value| {
        let mut fields = fields.clone();
        fields.insert(field.into(), value);
        read("i-7", &serde_json::to_vec(&fields).unwrap())
    };
    for field in fields.keys() {
        let mut others = fields.clone();
        others.remove(field);
        let bytes = serde_json::to_vec(&others).unwrap();
        assert!(read("i-7", &bytes).is_err(), "without {field}");
        let other = match &fields[field] {
            serde_json::Value::String(_) => serde_json::json!(7),
            _ => serde_json::json!("7"),
        };
        assert!(with(field, other).is_err(), "another type of {field}");
        assert!(with(field, serde_json::Value::Null).is_err(), "no {field}");
    }
    for (field, word) in [
        ("state", "warming"),
        ("db_role", "witness"),
        ("service", ""),
    ] {
        assert!(with(field, word.into()).is_err(), "{field} {word}");
    }
    for born in ["\"1\"", "1.5", "-1", "null", "{}"] {
        let born = serde_json::from_str(born).unwrap();
        assert!(with("born", born).is_err());
    }
    let born = with("born", serde_json::json!(1_775_322_283_012_u64))
        .unwrap()
        .born;
    assert_eq!(born, Some(Birth(1_775_322_283_012)));
}

/// Guards against a process that ends, or stops following the register, as an entry of another
/// writer is nested very deeply or holds a number or a port out of range.
#[test]
fn an_odd_entry_is_rejected() {
    const DEPTH: usize = 30_000;
    let list = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let object = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let mut odd = vec!["[".repeat(DEPTH), list.clone(), object.clone()];
    for deep in [&list, &object] {
        for field in ["\"huvo11a\"", "\"10.128.0.9:8080\"", "\"ready\"", "4}"] {
            let end = if field.ends_with('}') { "}" } else { "" };
            odd.push(ENTRY.replacen(field, &format!("{deep}{end}"), 1));
        }
        odd.push(ENTRY.replacen("3", deep, 1));
        odd.push(ENTRY.replacen('}', &format!(",\"born\":{deep}}}"), 1));
    }
    for number in ["1e400", "18446744073709551616", "-1", "3.5"] {
        odd.push(ENTRY.replacen("\"slots\":3", &format!("\"slots\":{number}"), 1));
        odd.push(ENTRY.replacen("\"seq\":4", &format!("\"seq\":{number}"), 1));
        odd.push(ENTRY.replacen('}', &format!(",\"born\":{number}}}"), 1));
    }
    odd.push(ENTRY.replacen("\"slots\":3", "\"slots\":4294967296", 1));
    odd.push(ENTRY.replacen("\"cold_ms\":0", "\"cold_ms\":1e999", 1));
    for port in ["65536", "70000", "-1", "99999999999999999999", "0x50", ""] {
        odd.push(ENTRY.replacen(":8080", &format!(":{port}"), 1));
    }
    let deep = ENTRY.replacen('}', &format!(",\"more\":{list}}}"), 1);
    let read = documents().read_database;
    // A recursion of this depth would need a larger stack.
    let small_stack = std::thread::Builder::new().stack_size(256 * 1024);
    let checked = small_stack.spawn(move || {
        for entry in &odd {
            let shown = &entry[..entry.len().min(250)];
            assert!(read("i-7", entry.as_bytes()).is_err(), "{shown}");
        }
        let entry = read("i-7", ENTRY.as_bytes());
        assert_eq!(
            read("i-7", deep.as_bytes()),
            entry,
            "unknown fields are ignored"
        );
    });
    checked.unwrap().join().unwrap();
}

quickcheck! {
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>, at: usize, byte: u8) -> bool {
        let documents = documents();
        let _ = (documents.read_config)(&bytes);
        let _ = (documents.read_database)("i-7f", &bytes);
        let mut manifest = MANIFEST.as_bytes().to_vec();
        let index = at % manifest.len();
        manifest[index] = byte;
        let _ = (documents.read_config)(&manifest);
        let mut entry = ENTRY.as_bytes().to_vec();
        let index = at % entry.len();
        entry[index] = byte;
        let _ = (documents.read_database)("i-7f", &entry);
        true
    }
}
