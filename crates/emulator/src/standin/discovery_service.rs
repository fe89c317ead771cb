//! Discovery, played by the test.

use std::net::SocketAddr;

use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};

use super::{Connection, Server};

/// Discovery's side: waits for calls.
#[derive(Debug, Default)]
pub struct DiscoveryService(Server);

impl DiscoveryService {
    /// A director that listens.
    pub fn new() -> Self {
        DiscoveryService::default()
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Waits for the next watch to be asked for.
    #[track_caller]
    pub fn accept_watch(&self) -> Watch {
        let mut peer = self.0.accept();
        let call = peer.receive_line();
        Watch { peer, call, begun: false }
    }

    /// Whether a call waits to be accepted.
    pub fn has_pending_connection(&self) -> bool {
        self.0.has_pending_connection()
    }
}

/// A watch that the program has asked for.
#[derive(Debug)]
pub struct Watch {
    peer: Connection,
    call: String,
    begun: bool,
}

impl Watch {
    /// The call's first line.
    pub fn request_line(&self) -> &str {
        &self.call
    }

    /// The version that the watch goes on from.
    #[track_caller]
    pub fn since(&self) -> u64 {
        let since = self.call.strip_prefix("GET /v1/servers?follow=1&since=");
        let since = since.and_then(|rest| rest.strip_suffix(" HTTP/1.1")).and_then(|n| n.parse().ok());
        since.unwrap_or_else(|| panic!("no call for a watch: {}", self.call))
    }

    /// Tells a whole list, or changes to the one before.
    pub fn send_list(&mut self, index: u64, snapshot: bool, endpoints: Vec<Endpoint>) {
        let list = serde_json::to_string(&EndpointList { index, snapshot, endpoints }).expect("a list");
        self.chunk(&format!("{list}\n"));
    }

    /// Says that nothing has changed.
    pub fn send_blank_line(&mut self) {
        self.chunk("\n");
    }

    fn chunk(&mut self, text: &str) {
        if !std::mem::replace(&mut self.begun, true) {
            self.peer.send_bytes(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        self.peer.send_bytes(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// Answers the call with a failure, such as `503 Busy`.
    pub fn send_error(&mut self, status: &str) {
        self.peer.send_bytes(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    }

    /// Ends the watch in good order.
    pub fn end(&mut self) {
        self.peer.send_bytes(b"0\r\n\r\n");
    }
}
