//! A hundred proxies that share nothing, each with a client or two: what one of them can't know, and what all of them
//! do at once.

mod common;
use common::*;
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::*;

const PROXIES: u64 = 100;
const SERVERS: u64 = 14;

fn proxy(me: u64) -> Proxy {
    let set = Settings { me, proxies: PROXIES as f64, ..settings() };
    let mut p = Proxy { module: Balancer::new(set, me), now: 100.0 };
    p.give(Event::Start);
    p.give(list(&(1..=SERVERS).map(entry).collect::<Vec<_>>()));
    p
}

fn grouped(id: u32, group: u64) -> Request {
    Request { group, ..request(id, 100.0) }
}

fn again(id: u32, group: u64) -> Request {
    Request { returning: true, ..grouped(id, group) }
}

fn slow(p: &mut Proxy, server: ServerId) -> Vec<Action> {
    p.give(Event::MessageDelay { server, delay: 0.3 })
}

#[test]
fn a_proxy_that_knows_only_clients_who_come_again_can_relieve_a_slow_server() {
    let moves = (0..PROXIES).filter(|&me| {
        let mut p = proxy(me);
        let at = p.connect(again(1, 77)).expect("room");
        let at_once = moved(&slow(&mut p, at));
        p.now += 1.0;
        at_once + moved(&slow(&mut p, at)) > 0
    });
    let moves = moves.count();
    assert!(moves >= 30, "{moves} of a hundred move their client");
}
