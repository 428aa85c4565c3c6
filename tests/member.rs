//! The order in which VMs hold a database.

use lentilspoke::clock::Time;
use lentilspoke::config::Accepted;
use lentilspoke::core::member::{Identity, Member, first, order};
use lentilspoke::core::node::{Input, Node};
use lentilspoke::types::{DatabaseId, Domain, Life, Version};

fn members(count: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        vm: format!("vm{n}").parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        domain: format!("x{}", n % 7).parse().unwrap(),
        leaving: n % 11 == 3,
    };
    (0..count).map(member).collect()
}

#[test]
fn the_first_are_those_of_the_whole_order() {
    for count in [0, 1, 5, 8, 30, 580] {
        let members = members(count);
        for database in 0..20 {
            let id: DatabaseId = format!("d{database}").parse().unwrap();
            let domain: Domain = format!("x{}", database % 8).parse().unwrap();
            let whole = order(&members, &id, &domain);
            let few = first(&members, &id, &domain, 4);
            assert_eq!(few, whole[..whole.len().min(4)], "{count} {database}");
        }
    }
}

#[test]
fn removing_a_vm_moves_only_its_own_databases() {
    let all = members(40);
    let mut fewer = all.clone();
    let removed = fewer.remove(9);
    let domain: Domain = "x2".parse().unwrap();
    let holder = |members: &[Member], id: &DatabaseId| order(members, id, &domain)[0].vm.clone();
    let mut moved = 0;
    for database in 0..200 {
        let id: DatabaseId = format!("d{database}").parse().unwrap();
        let before = holder(&all, &id);
        if before == removed.vm {
            moved += 1;
        } else {
            assert_eq!(holder(&fewer, &id), before);
        }
    }
    assert!(
        (10..80).contains(&moved),
        "{moved} of 200 were held by the VM that went"
    );
}

/// A VM that has just started receives the configuration from a peer before the platform's list of
/// VMs. It must not send anything to a database before it has the list: if it assumed that it is the
/// only VM, it would raise the terms of all groups, and every group would lose its steward.
#[test]
fn a_vm_without_a_list_takes_over_nothing() {
    let document = lentilspoke::slopes::deployment::document(2).unwrap();
    let identity = Identity {
        vm: "vm-0".parse().unwrap(),
        domain: "domain-0".parse().unwrap(),
        life: Life(1),
    };
    let mut node = Node::new(identity, Time::default());
    let mut outputs = Vec::new();
    let accepted = Accepted {
        version: Version(3),
        document,
    };
    node.handle(
        Time::default(),
        Input::Accepted(accepted.into()),
        &mut outputs,
    );
    for second in 1..10 {
        node.handle(Time(second * 1_000_000), Input::Tick, &mut outputs);
    }
    assert_eq!(outputs, []);
    node.handle(Time(10_000_000), Input::Members(Vec::new()), &mut outputs);
    for second in 11..20 {
        node.handle(Time(second * 1_000_000), Input::Tick, &mut outputs);
    }
    assert_ne!(outputs, [], "the last VM has to take over");
}
