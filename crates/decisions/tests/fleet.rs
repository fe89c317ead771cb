//! A hundred proxies that share nothing, each with a client or two: what one of them can't know, and what all of them
//! do at once.

mod common;
use std::collections::BTreeMap;

use common::{TestInstance, endpoint_list, entry, migration_count, request, settings};
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{Action, Event, Outcome, Request, ServerId, Settings};

const INSTANCES: u64 = 100;
const SERVERS: u64 = 14;

fn new_instance(me: u64) -> TestInstance {
    let set = Settings { instance_index: me, instance_count: INSTANCES as f64, ..settings() };
    let mut instance = TestInstance { balancer: Balancer::new(set, me), now: 100.0 };
    instance.handle(Event::Start);
    instance.handle(endpoint_list(&(1..=SERVERS).map(entry).collect::<Vec<_>>()));
    instance
}

fn grouped(id: u32, group: u64) -> Request {
    Request { group, ..request(id, 100.0) }
}

fn again(id: u32, group: u64) -> Request {
    Request { is_returning: true, ..grouped(id, group) }
}

fn slow(instance: &mut TestInstance, server: ServerId) -> Vec<Action> {
    instance.handle(Event::MessageDelay { server, delay: 0.3 })
}

/// Where proxies that have heard of nothing place a group's fresh client.
fn home(group: u64) -> ServerId {
    new_instance(0).connect(grouped(1, group)).expect("room")
}

#[test]
fn who_sent_its_last_client_away_from_a_slow_server_sends_none_there_for_a_while() {
    let at = home(77);
    let alike: Vec<u64> = (78..).filter(|g| home(*g) == at).take(40).collect();
    let mut back = Vec::new();
    for me in 0..INSTANCES {
        let mut instance = new_instance(me);
        instance.connect(grouped(1, 77)).expect("room");
        slow(&mut instance, at);
        instance.end_attempt(1, at, 0, Outcome::Cancelled);
        // Nobody is left here to tell of it.
        let free = (2..40).find(|&s| {
            instance.now = 100.0 + 0.5 * f64::from(s);
            let r = Request { deadline: instance.now + 2.0, ..grouped(s, alike[s as usize]) };
            let attempted_server = instance.connect(r);
            if let Some(server) = attempted_server {
                instance.end_attempt(s, server, 0, Outcome::Ok);
            }
            attempted_server == Some(at)
        });
        back.push(0.5 * f64::from(free.expect("it is not shut out for good")));
    }
    back.sort_by(f64::total_cmp);
    assert!(back[0] >= 4.0, "the first one comes back after {} s", back[0]);
    let (early, late) = (back[24], back[75]);
    assert!(late - early >= 2.0, "half of them come back within {early} to {late} s: a wave");
}

#[test]
fn a_proxy_that_knows_only_clients_who_come_again_can_relieve_a_slow_server() {
    let moves = (0..INSTANCES).filter(|&me| {
        let mut instance = new_instance(me);
        let at = instance.connect(again(1, 77)).expect("room");
        let at_once = migration_count(&slow(&mut instance, at));
        instance.now += 1.0;
        at_once + migration_count(&slow(&mut instance, at)) > 0
    });
    let moves = moves.count();
    assert!(moves >= 30, "{moves} of a hundred move their client");
}

#[test]
fn those_who_come_again_do_not_all_go_back_to_where_they_were_sent_away() {
    let at = home(77);
    let mut count = BTreeMap::new();
    for me in 0..INSTANCES {
        *count.entry(new_instance(me).connect(again(1, 77)).expect("room")).or_insert(0) += 1;
    }
    assert!((30..=70).contains(&count[&at]), "{count:?}");
    assert_eq!(count.len(), 2, "all others go to the same next server: {count:?}");
}

#[test]
fn whose_clients_are_well_served_there_takes_those_who_come_again_too() {
    let at = home(77);
    for me in 0..INSTANCES {
        let mut instance = new_instance(me);
        instance.handle(Event::ConnectionRestored(grouped(1, 78), at));
        assert_eq!(instance.connect(again(2, 77)), Some(at));
    }
}
