//! Tests of placement decisions. Each test guards against a failure that was found in an earlier version.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::{
    HOUSEKEEPING_TOKEN, SUBSCRIBE_TOKEN, TestInstance, attempted_server, endpoint_list, entry, is_rejected,
    migration_count, record_timers, request, settings,
};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestClass, RequestId, ServerEntry, ServerId, ServerState, Settings,
};

fn instances(count: u64, server_count: u64, settings: impl Fn() -> Settings) -> Vec<TestInstance> {
    (0..count)
        .map(|index| {
            let settings = Settings { instance_index: index, instance_count: count as f64, ..settings() };
            TestInstance::new(settings, server_count)
        })
        .collect()
}

fn grouped(id: u32, group: u64) -> Request {
    Request { group, ..request(id, 100.0) }
}

fn report_delay(instance: &mut TestInstance, server: ServerId, delay: f64) -> Vec<Action> {
    instance.handle(Event::MessageDelay { server, delay })
}

#[test]
fn a_returning_client_goes_to_its_reserved_server() {
    let mut instance = TestInstance::new(settings(), 30);
    let server = instance.connect(request(1, 100.0)).unwrap();
    for id in 2..20 {
        instance.connect(request(id, 100.0));
    }
    instance.end_attempt(1, server, 0, Outcome::Ok);
    // Other clients load the server, so that only the reservation is a reason to choose it.
    for id in 100..190 {
        instance.connect(request(id, 100.0));
    }
    instance.now += 0.9;
    assert_eq!(instance.connect(Request { key: 1001, ..request(50, 100.9) }), Some(server));
    let others = (300..330).filter(|id| instance.connect(request(*id, 100.9)) == Some(server)).count();
    assert!(others < 10, "{others} of 30 other clients are sent to the reserved server");
}

#[test]
fn a_client_without_a_reservation_goes_to_the_server_with_the_lowest_load_for_its_weight() {
    let mut instance = TestInstance::new(settings(), 2);
    instance.handle(endpoint_list(&[entry(1), ServerEntry { weight: 6.0, ..entry(2) }]));
    let mut count = BTreeMap::new();
    for id in 0..40 {
        *count.entry(instance.connect(request(id, 100.0)).unwrap()).or_insert(0) += 1;
    }
    assert_eq!(count[&ServerId(2)], 3 * count[&ServerId(1)], "a third of the weight, a third of the clients");
}

#[test]
fn instances_do_not_all_start_with_the_same_server() {
    let firsts: Vec<_> = instances(60, 30, settings)
        .iter_mut()
        .map(|instance| instance.connect(request(1, 100.0)).unwrap())
        .collect();
    let mut count = BTreeMap::new();
    firsts.iter().for_each(|server| *count.entry(server).or_insert(0) += 1);
    assert!(count.values().max().unwrap() <= &9, "{count:?}");
}

#[test]
fn a_group_is_placed_on_few_servers_by_instances_that_do_not_communicate() {
    let mut servers = BTreeSet::new();
    for instance in &mut instances(100, 80, settings) {
        for id in 0..9 {
            instance.connect(grouped(id, 500 + u64::from(id)));
        }
        servers.insert(instance.connect(grouped(20, 77)).unwrap());
    }
    assert!(servers.len() <= 6, "100 clients of a small group are on {} servers", servers.len());
}

#[test]
fn an_instance_places_a_group_on_a_server_that_already_has_connections_of_it() {
    for server in (1..=30).map(ServerId) {
        let mut instance = TestInstance::new(settings(), 30);
        instance.handle(Event::ConnectionRestored(grouped(1, 77), server));
        assert_eq!(
            instance.connect(grouped(2, 77)),
            Some(server),
            "the server already bears the overhead of the group"
        );
        report_delay(&mut instance, server, 1.0);
        instance.now += 1.0;
        let request = Request { deadline: 103.0, ..grouped(3, 77) };
        assert_ne!(instance.connect(request), Some(server), "the server is unavailable");
    }
}

#[test]
fn a_large_group_gets_a_pool_according_to_its_share_of_clients() {
    let mut servers = BTreeSet::new();
    for instance in &mut instances(40, 60, settings) {
        for id in 0..20 {
            servers
                .insert(instance.connect(grouped(id, if id % 2 == 0 { 77 } else { 1000 + u64::from(id) })));
        }
    }
    assert!(servers.len() > 20, "{} servers", servers.len());
}

#[test]
fn requests_of_a_group_are_rejected_rather_than_spread_while_its_pool_is_unavailable() {
    let mut instance = TestInstance::new(settings(), 40);
    let mut placed = BTreeSet::new();
    for id in 0..200 {
        let actions = instance.receive(grouped(id, 77));
        if let Some(server) = attempted_server(&actions) {
            instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
            instance.end_attempt(id, server, 0, Outcome::Reset);
            placed.insert(server);
        }
        // Clients of other groups keep this group's share small.
        for other in 0..4 {
            let request = grouped(10_000 + id * 10 + other, 9000 + u64::from(id * 10 + other));
            instance.connect(request);
            instance.handle(Event::ClientLeft(request.id));
        }
    }
    assert!(placed.len() < 30, "a group with a fifth of the clients went to {} of 40 servers", placed.len());
}

#[test]
fn a_group_whose_servers_are_slow_is_placed_on_the_next_rank() {
    let mut instance = TestInstance::new(settings(), 10);
    // The two servers of a small group's pool become slow for a moment, while eight others have free
    // capacity.
    (100..160).for_each(|id| assert!(instance.connect(request(id, 100.0)).is_some()));
    for id in 1..3 {
        let server = instance.connect(grouped(id, 77)).expect("placed");
        report_delay(&mut instance, server, 0.05);
        report_delay(&mut instance, server, 0.001);
    }
    let third = instance.connect(grouped(3, 77)).expect("placed on the next rank");
    assert_eq!(instance.connect(grouped(4, 77)), Some(third), "the group stays together on the next rank");
}

#[test]
fn a_growing_backlog_causes_migrations_and_a_shrinking_one_does_not() {
    let mut instance = TestInstance::new(settings(), 1);
    for id in 0..40 {
        instance.connect(request(id, 100.0));
    }
    report_delay(&mut instance, ServerId(1), 0.06);
    instance.now += 1.0;
    assert!(
        migration_count(&report_delay(&mut instance, ServerId(1), 0.5)) >= 8,
        "the backlog has grown by 0.44 s within a second, so clients have to leave"
    );
    instance.now += 1.0;
    assert_eq!(
        migration_count(&report_delay(&mut instance, ServerId(1), 0.1)),
        0,
        "the backlog drains by itself"
    );
}

#[test]
fn clients_whose_class_does_not_tolerate_the_delay_are_migrated_first() {
    let mut settings = settings();
    let tolerant = RequestClass { message_latency_objective: 5.0, ..settings.classes[0].clone() };
    settings.classes.push(tolerant);
    let mut instance = TestInstance::new(settings, 1);
    for id in 0..40 {
        instance.connect(Request { class: id as usize % 2, ..request(id, 100.0) });
    }
    let actions = report_delay(&mut instance, ServerId(1), 0.3);
    assert!(migration_count(&actions) > 3);
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Migrate(id) if id.0 % 2 == 1)),
        "clients of the tolerant class stay: {actions:?}"
    );
}

#[test]
fn fast_messages_cause_no_migrations() {
    let mut instance = TestInstance::new(settings(), 1);
    for id in 0..40 {
        instance.connect(request(id, 100.0));
    }
    assert_eq!(migration_count(&report_delay(&mut instance, ServerId(1), 0.04)), 0);
}

/// Whether an action is a rejection that tells the client to wait before a retry.
fn has_retry_after(action: &Action) -> bool {
    matches!(action, Action::Reject { retry_after, .. } if *retry_after > 0.0)
}

/// Sets the capacity of both servers to `load` and the mean load of a connection to 0.1.
fn set_capacities(instance: &mut TestInstance, load: f64) {
    instance.handle(Event::MeanLoadEstimated(0.1));
    for id in 1..=2 {
        instance.handle(Event::CapacityEstimated { server: ServerId(id), load, setup_rate: 1.0 });
    }
}

#[test]
fn a_server_gets_no_more_than_its_capacity_and_further_requests_are_rejected_at_once() {
    let mut instance = TestInstance::new(settings(), 2);
    set_capacities(&mut instance, 1.0);
    let (mut established, mut rejected) = (0, 0);
    for id in 0..40 {
        let actions = instance.receive(request(id, 100.0));
        match attempted_server(&actions) {
            Some(_) => {
                instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
                established += 1;
            }
            None => {
                assert!(
                    actions.iter().any(has_retry_after),
                    "without free capacity a request is rejected at once, with a retry-after: {actions:?}"
                );
                rejected += 1;
            }
        }
    }
    // Each connection has a load of 0.1 and an overhead of 0.01.
    assert_eq!((established, rejected), (18, 22));
    set_capacities(&mut instance, 1.12);
    assert!(
        attempted_server(&instance.receive(request(99, 100.0))).is_some(),
        "new capacity is used at once"
    );
}

#[test]
fn a_request_that_waits_for_a_setup_slot_is_placed_or_rejected_within_its_objective() {
    let mut instance = TestInstance::new(settings(), 2);
    set_capacities(&mut instance, 20.0);
    let mut timers = Vec::new();
    let mut pending = Vec::new();
    // Set-ups are pending at both servers, which have much free capacity: set-up slots become free within
    // moments.
    let waiting = (0..).find(|id| {
        let actions = instance.receive(request(*id, 100.0));
        record_timers(&actions, instance.now, &mut timers);
        pending.extend(attempted_server(&actions).map(|server| (*id, server)));
        assert!(
            !is_rejected(&actions) || *id > 8,
            "the request is deferred if servers lack only set-up slots: {actions:?}"
        );
        attempted_server(&actions).is_none()
    });
    let waiting = waiting.expect("no set-up slot is free in the end");
    instance.handle(Event::Established { request: RequestId(pending[0].0), attempt: 0 });
    let actions = instance.advance_to(&mut timers, 100.2);
    let is_placed =
        |action: &Action| matches!(action, Action::BeginAttempt { request, .. } if request.0 == waiting);
    assert!(
        actions.iter().any(is_placed),
        "the request is placed when a set-up slot becomes free: {actions:?}"
    );
    let late = instance.receive(request(900, 100.2));
    record_timers(&late, instance.now, &mut timers);
    assert!(
        attempted_server(&late).is_none() && !is_rejected(&late),
        "no set-up slot is free again, so the request is deferred"
    );
    // The latency objective is 0.5 s. No request waits for longer, even if its deadline is later.
    let actions = instance.advance_to(&mut timers, 100.8);
    assert!(
        actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if request.0 == 900)),
        "{actions:?}"
    );
}

#[test]
fn a_connection_without_a_reported_load_has_the_mean_load() {
    let mut instance = TestInstance::new(settings(), 1);
    for id in 0..5 {
        instance.connect(request(id, 100.0));
    }
    instance.handle(Event::LoadChanged { request: RequestId(0), load: 0.3 });
    instance.handle(Event::MeanLoadEstimated(0.1));
    let load = instance.balancer.assigned_load(ServerId(1));
    assert!((load - (0.3 + 4.0 * 0.1 + 5.0 * 0.01)).abs() < 1e-9, "{load}");
}

#[test]
fn clients_are_migrated_from_a_draining_server() {
    let mut instance = TestInstance::new(settings(), 2);
    let clients = (0..20).filter(|id| instance.connect(request(*id, 100.0)) == Some(ServerId(1))).count();
    let draining = ServerEntry { state: ServerState::Draining, ..entry(1) };
    let actions = instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![draining].into(),
    });
    assert_eq!(migration_count(&actions), clients);
}

#[test]
fn servers_of_the_own_zone_come_first_where_crossing_zones_is_costly() {
    let settings = || Settings { zone_crossing_cost: 0.08, ..settings() };
    for instance in &mut instances(10, 20, settings) {
        for id in 0..10 {
            assert_eq!(instance.connect(grouped(id, u64::from(id) + 5)).unwrap().0 % 2, 0);
        }
    }
}

#[test]
fn discovery_is_called_once_at_a_random_time_and_again_after_a_failure() {
    let mut call_times = BTreeSet::new();
    for seed in 0..20 {
        let settings = Settings { polls_discovery: true, ..settings() };
        let mut instance =
            TestInstance { balancer: shorewharf_decisions::Balancer::new(settings, seed), now: 100.0 };
        let mut timers = Vec::new();
        let actions = instance.handle(Event::Start);
        assert!(
            !actions.contains(&Action::Subscribe),
            "instances that start together must not all call discovery at once"
        );
        record_timers(&actions, 100.0, &mut timers);
        timers.retain(|timer| timer.1 == SUBSCRIBE_TOKEN);
        call_times.insert((timers[0].0 * 100.0) as u64);
        let calls =
            |actions: Vec<Action>| actions.iter().filter(|action| **action == Action::Subscribe).count();
        assert_eq!(calls(instance.advance_to(&mut timers, 109.0)), 1);
        let actions = instance.handle(Event::DiscoveryFailed);
        record_timers(&actions, 109.0, &mut timers);
        assert_eq!(
            calls(instance.advance_to(&mut timers, 119.0)),
            1,
            "discovery is called again within the poll interval"
        );
    }
    assert!(call_times.len() > 10, "the times of the first calls are not spread: {call_times:?}");
}

#[test]
fn state_stays_bounded_under_long_churn() {
    let mut instance = TestInstance::new(settings(), 20);
    let mut timers = vec![(100.5, HOUSEKEEPING_TOKEN)];
    for round in 0..400u32 {
        let start = u64::from(round % 50);
        instance.handle(endpoint_list(&(start..start + 20).map(|i| entry(i + 1)).collect::<Vec<_>>()));
        for n in 0..20 {
            let id = round * 20 + n;
            let request = Request { deadline: instance.now + 2.0, ..grouped(id, u64::from(id) + 1) };
            if let Some(server) = instance.connect(request) {
                instance.end_attempt(id, server, 0, Outcome::Ok);
            }
        }
        let until = instance.now + 1.0;
        instance.advance_to(&mut timers, until);
    }
    let size = format!("{:?}", instance.balancer).len();
    assert!(size < 400_000, "{size} bytes of state after 8,000 clients, groups and changing servers");
}

#[test]
fn another_instance_finds_the_server_of_a_connection_in_pass_through_mode() {
    let settings = || Settings { is_pass_through: true, parked_connection_timeout: 6.0, ..settings() };
    let servers: BTreeSet<_> = instances(20, 30, settings)
        .iter_mut()
        .map(|instance| {
            for id in 0..15 {
                instance.connect(request(id, 100.0));
            }
            instance.connect(Request { key: 4242, is_mid_flow: true, ..request(50, 100.0) }).unwrap()
        })
        .collect();
    assert_eq!(servers.len(), 1, "{servers:?}");
}

#[test]
fn a_server_back_from_draining_gets_one_client_even_if_no_group_ranks_it_first() {
    let mut instance = TestInstance::new(settings(), 8);
    // There are two groups, and a server that ranks first for neither: by rank it would get no client.
    let first_servers = [7, 8].map(|group| instance.connect(grouped(group as u32, group)).unwrap());
    let returned = (1..=8).map(ServerId).find(|server| !first_servers.contains(server)).unwrap();
    let list_change = |state, started_at| Event::EndpointList {
        is_complete: false,
        is_cached: true,
        entries: vec![ServerEntry { state, started_at, ..entry(returned.0) }].into(),
    };
    instance.handle(list_change(ServerState::Draining, 0.0));
    assert_eq!(instance.connect(grouped(20, 7)), Some(first_servers[0]));
    instance.handle(list_change(ServerState::Ready, 0.0));
    assert_eq!(instance.connect(grouped(21, 7)), Some(returned), "one client shows whether the server works");
    assert_eq!(
        instance.connect(grouped(22, 8)),
        Some(first_servers[1]),
        "the server gets only one such client"
    );
    // While the server is cold, it gets the client only when slow start admits one.
    instance.handle(list_change(ServerState::Draining, 0.0));
    instance.handle(list_change(ServerState::Ready, instance.now));
    assert_eq!(instance.connect(grouped(23, 8)), Some(first_servers[1]));
}
