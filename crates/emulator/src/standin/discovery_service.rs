//! A discovery service that a test scripts.

use std::net::SocketAddr;

use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};

use super::{Connection, Server};

/// A discovery service that listens on a loopback port and accepts calls of the balancer.
#[derive(Debug, Default)]
pub struct DiscoveryService(Server);

impl DiscoveryService {
    /// Starts listening.
    pub fn new() -> Self {
        DiscoveryService::default()
    }

    /// Starts listening at an address that [`stable_address`](super::stable_address) has returned, at which another service may
    /// have listened before.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    pub fn at(address: SocketAddr) -> Self {
        DiscoveryService(Server::at(address))
    }

    /// The address that the discovery service listens on.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Waits for the next call and reads its request line.
    #[track_caller]
    pub fn accept_watch(&self) -> Watch {
        let mut connection = self.0.accept();
        let request_line = connection.receive_line();
        Watch { connection, request_line, sent_head: false }
    }

    /// Whether the balancer has connected since the last accept. See [`Server::has_pending_connection`].
    pub fn has_pending_connection(&self) -> bool {
        self.0.has_pending_connection()
    }
}

/// A watch that the balancer has requested: one HTTP call with a chunked response.
#[derive(Debug)]
pub struct Watch {
    connection: Connection,
    request_line: String,
    /// Whether the head of the response has been sent.
    sent_head: bool,
}

impl Watch {
    /// The request line of the call.
    pub fn request_line(&self) -> &str {
        &self.request_line
    }

    /// The list version that the balancer already has and asks for changes after.
    ///
    /// # Panics
    ///
    /// Panics if the request line does not ask for a watch.
    #[track_caller]
    pub fn since(&self) -> u64 {
        let since = self.request_line.strip_prefix("GET /v1/servers?follow=1&since=");
        let since = since.and_then(|rest| rest.strip_suffix(" HTTP/1.1")).and_then(|n| n.parse().ok());
        since.unwrap_or_else(|| panic!("expected the request line of a watch, found {:?}", self.request_line))
    }

    /// Sends an endpoint list: all endpoints if `snapshot` is set, otherwise those that have changed.
    ///
    /// # Panics
    ///
    /// Panics if the list cannot be serialized, or if the connection is broken.
    pub fn send_list(&mut self, index: u64, snapshot: bool, endpoints: Vec<Endpoint>) {
        let list = serde_json::to_string(&EndpointList { index, snapshot, endpoints })
            .expect("the list should serialize");
        self.send_text(&format!("{list}\n"));
    }

    /// Sends a blank line, which keeps the watch alive while nothing changes.
    pub fn send_blank_line(&mut self) {
        self.send_text("\n");
    }

    /// Sends text as a chunk of the response, whether it is a list or not.
    pub fn send_text(&mut self, text: &str) {
        if !std::mem::replace(&mut self.sent_head, true) {
            self.connection.send_bytes(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        self.connection.send_bytes(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// Answers the call with an error status, such as `503 Busy`.
    pub fn send_error(&mut self, status: &str) {
        self.connection.send_bytes(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    }

    /// Resets the connection of the call.
    pub fn reset(self) {
        self.connection.reset();
    }

    /// Sends the last chunk, which ends the response properly.
    pub fn end(&mut self) {
        self.connection.send_bytes(b"0\r\n\r\n");
    }
}
