//! The director: the list of servers, from a watch over HTTP/1.1.

use std::net::SocketAddr;

use shorewharf_driver::Micros;
use shorewharf_protocol::list::Listing;
use tracing::{info, warn};

use super::answer::Answer;
use crate::net::link::Link;
use crate::net::poll::Owner;
use crate::net::turn::Turn;

/// A call that has not begun to answer by then has failed: discovery itself gives up after about a second. After a
/// reload its news counts as told within 4 s, and there must be time for another call by then.
const ANSWER: Micros = 1_500_000;
/// A watch has a blank line every 2 s; one that stays silent for this long is dead though TCP says nothing.
/// Together with the next call this must stay under 6 s: by then its news counts as told.
const SILENT: Micros = 3_500_000;
/// What comes of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// Discovery tells a list, or changes to it.
    List(Listing),
    /// A call failed or the watch ended.
    Failed,
}

/// Discovery's side.
#[derive(Debug)]
pub struct Director {
    at: SocketAddr,
    link: Option<Link>,
    asked: bool,
    answer: Answer,
    /// The version of the list that is held.
    index: u64,
    /// When something came last, or the call began.
    heard: Micros,
    failing: bool,
    /// The module has asked for the list; without that nobody watches.
    wanted: bool,
}

impl Director {
    /// A director that has not been asked yet.
    pub fn new(at: SocketAddr) -> Self {
        Director {
            at,
            link: None,
            asked: false,
            answer: Answer::new(),
            index: 0,
            heard: 0,
            failing: false,
            wanted: false,
        }
    }

    /// The list of this version is known from before.
    pub fn knows(&mut self, index: u64) {
        self.index = index;
    }

    /// Discovery is at another address from now on. Guards against an old list: the watch at the address
    /// before may live on for seconds and tell nothing, so a new one starts at once. It goes on from the
    /// version that is held; the list stays in force meanwhile.
    pub fn moves(&mut self, turn: &Turn, at: SocketAddr) -> Vec<News> {
        if std::mem::replace(&mut self.at, at) == at {
            return Vec::new();
        }
        if let Some(link) = self.link.take() {
            turn.poller.close(link);
        }
        if self.wanted { self.watch(turn) } else { Vec::new() }
    }

    /// Opens the watch, unless it is open.
    pub fn watch(&mut self, turn: &Turn) -> Vec<News> {
        self.wanted = true;
        if self.link.is_some() {
            return Vec::new();
        }
        let mut link = match Link::connect(self.at) {
            Ok(link) => link,
            Err(e) => return self.failed(turn, Vec::new(), &e.to_string()),
        };
        if !turn.poller.watch(&mut link, Owner::Director) {
            return self.failed(turn, Vec::new(), "the loop takes no more connections");
        }
        (self.link, self.asked, self.answer, self.heard) = (Some(link), false, Answer::new(), turn.now);
        self.ready(turn, false, false)
    }

    /// The watch's connection is ready.
    pub fn ready(&mut self, turn: &Turn, read: bool, write: bool) -> Vec<News> {
        let mut news = Vec::new();
        let Some(link) = self.link.as_mut() else { return news };
        link.ready(read, write);
        if !self.asked {
            match link.connected() {
                Ok(false) => return news,
                Ok(true) => {}
                Err(e) => return self.failed(turn, news, &e.to_string()),
            }
            self.asked = true;
            let call = format!(
                "GET /v1/servers?follow=1&since={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                self.index, self.at
            );
            link.say(&turn.pool, call.as_bytes());
        }
        link.flush();
        let mut lines = Vec::new();
        let failure = loop {
            let any = link.fill(&turn.pool);
            let took = match self.answer.take(link.held(), &mut lines) {
                Ok(n) => n,
                Err(why) => break Some(why),
            };
            link.take(took);
            if any {
                self.heard = turn.now;
            }
            if !any || (took == 0 && link.ended.is_none()) {
                break link.ended.map(|_| "the connection ended".to_owned());
            }
        };
        for line in lines.iter().filter(|l| !l.iter().all(u8::is_ascii_whitespace)) {
            match serde_json::from_slice::<Listing>(line) {
                Ok(listing) => news.push(self.says(listing)),
                Err(e) => return self.failed(turn, news, &format!("bad list: {e}")),
            }
        }
        match failure {
            Some(why) => self.failed(turn, news, &why),
            None => news,
        }
    }

    fn says(&mut self, listing: Listing) -> News {
        if std::mem::replace(&mut self.failing, false) {
            info!(event = "discovery-back", index = listing.index);
        }
        self.index = listing.index;
        News::List(listing)
    }

    fn failed(&mut self, turn: &Turn, mut news: Vec<News>, why: &str) -> Vec<News> {
        if let Some(link) = self.link.take() {
            turn.poller.close(link);
        }
        if !std::mem::replace(&mut self.failing, true) {
            warn!(event = "discovery-failed", why);
        }
        news.push(News::Failed);
        news
    }

    /// Ends a watch that has been silent for too long.
    pub fn look_over(&mut self, turn: &Turn) -> Vec<News> {
        let limit = if self.answer.has_begun() { SILENT } else { ANSWER };
        if self.link.is_some() && turn.now >= self.heard + limit {
            return self.failed(turn, Vec::new(), "silence");
        }
        Vec::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::turn::tests::{turn, until};
    use std::io::Write;
    use std::net::TcpListener;

    #[test]
    fn a_silent_address_is_given_up_in_time_for_another_call() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut director = Director::new(listener.local_addr().expect("bound"));
        let mut turn = turn(1_000_000);
        assert_eq!(director.watch(&turn), []);
        turn.now += ANSWER - 1;
        assert_eq!(director.look_over(&turn), []);
        turn.now += 1;
        // What discovery tells after a reload counts as told within 4 s, so two calls must fit.
        const { assert!(2 * ANSWER < 4_000_000) };
        assert_eq!(director.look_over(&turn), [News::Failed]);
        assert_eq!((director.look_over(&turn), director.watch(&turn)), (vec![], vec![]));
        let (_first, (mut second, _)) = (listener.accept(), listener.accept().expect("a second call"));
        second.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"index\":7}\n").expect("open");
        let mut news = Vec::new();
        until(|| {
            news.extend(director.ready(&turn, true, true));
            !news.is_empty()
        });
        assert!(matches!(&news[..], [News::List(listing)] if listing.index == 7));
        turn.now += SILENT - 1;
        assert_eq!(director.look_over(&turn), []);
        turn.now += 1;
        assert_eq!(director.look_over(&turn), [News::Failed]);
    }
}
