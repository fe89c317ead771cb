//! A fleet of 100 instances that share no information and have one or two clients each: what a single
//! instance can't know, and the combined effect of what all of them do.

mod common;
use std::collections::BTreeMap;

use common::{TestInstance, endpoint_list, entry, migration_count, request, settings};
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{Action, Event, Outcome, Request, ServerId, Settings};

const INSTANCES: u64 = 100;
const SERVERS: u64 = 14;

fn new_instance(index: u64) -> TestInstance {
    let settings = Settings { instance_index: index, instance_count: INSTANCES as f64, ..settings() };
    let mut instance = TestInstance { balancer: Balancer::new(settings, index), now: 100.0 };
    instance.handle(Event::Start);
    instance.handle(endpoint_list(&(1..=SERVERS).map(entry).collect::<Vec<_>>()));
    instance
}

fn grouped(id: u32, group: u64) -> Request {
    Request { group, ..request(id, 100.0) }
}

fn returning(id: u32, group: u64) -> Request {
    Request { is_returning: true, ..grouped(id, group) }
}

fn report_slow_messages(instance: &mut TestInstance, server: ServerId) -> Vec<Action> {
    instance.handle(Event::MessageDelay { server, delay: 0.3 })
}

/// The server at which an instance without any knowledge places the first client of a group.
fn first_server(group: u64) -> ServerId {
    new_instance(0).connect(grouped(1, group)).expect("an attempt begins")
}

#[test]
fn an_instance_that_lost_its_last_client_on_a_slow_server_avoids_the_server_for_a_while() {
    let server = first_server(77);
    let groups: Vec<u64> = (78..).filter(|group| first_server(*group) == server).take(40).collect();
    let mut return_seconds = Vec::new();
    for index in 0..INSTANCES {
        let mut instance = new_instance(index);
        instance.connect(grouped(1, 77)).expect("an attempt begins");
        report_slow_messages(&mut instance, server);
        instance.end_attempt(1, server, 0, Outcome::Cancelled);
        // No client of this instance is left to report the server's delay.
        let first_return = (2..40).find(|&id| {
            instance.now = 100.0 + 0.5 * f64::from(id);
            let request = Request { deadline: instance.now + 2.0, ..grouped(id, groups[id as usize]) };
            let connected_server = instance.connect(request);
            if let Some(server) = connected_server {
                instance.end_attempt(id, server, 0, Outcome::Ok);
            }
            connected_server == Some(server)
        });
        return_seconds.push(0.5 * f64::from(first_return.expect("the server is used again")));
    }
    return_seconds.sort_by(f64::total_cmp);
    assert!(
        return_seconds[0] >= 4.0,
        "the first instance uses the server again after {} s",
        return_seconds[0]
    );
    let (early, late) = (return_seconds[24], return_seconds[75]);
    assert!(
        late - early >= 2.0,
        "half of the instances use the server again between {early} and {late} s, at almost the same time"
    );
}

#[test]
fn an_instance_with_only_returning_clients_can_migrate_them_from_a_slow_server() {
    let migrating_instances = (0..INSTANCES).filter(|&index| {
        let mut instance = new_instance(index);
        let server = instance.connect(returning(1, 77)).expect("an attempt begins");
        let first_migrations = migration_count(&report_slow_messages(&mut instance, server));
        instance.now += 1.0;
        first_migrations + migration_count(&report_slow_messages(&mut instance, server)) > 0
    });
    let migrating_instances = migrating_instances.count();
    assert!(migrating_instances >= 30, "{migrating_instances} of 100 instances migrate their client");
}

#[test]
fn only_about_half_of_returning_clients_go_to_the_first_ranked_server() {
    let server = first_server(77);
    let mut count = BTreeMap::new();
    for index in 0..INSTANCES {
        *count
            .entry(new_instance(index).connect(returning(1, 77)).expect("an attempt begins"))
            .or_insert(0) += 1;
    }
    assert!((30..=70).contains(&count[&server]), "{count:?}");
    assert_eq!(count.len(), 2, "all others go to the same second-ranked server: {count:?}");
}

#[test]
fn returning_clients_go_to_the_first_ranked_server_if_its_clients_report_no_delay() {
    let server = first_server(77);
    for index in 0..INSTANCES {
        let mut instance = new_instance(index);
        instance.handle(Event::ConnectionRestored(grouped(1, 78), server));
        assert_eq!(instance.connect(returning(2, 77)), Some(server));
    }
}
