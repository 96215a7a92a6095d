//! Single HTTP calls to control machines, for tests.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_runtime::http::HttpDecoder;
use arrowyard_runtime::{Commands, Event, Plane};
use arrowyard_types::{TimeDelta, Timestamp};

use crate::deployment::Deployment;

/// Status and body of the response, once there is one. Status 0: the connection closed without a response.
pub type CallReply = Rc<RefCell<Option<(u16, String)>>>;

/// Interval at which a response is polled.
const POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(5);
/// Number of polls, which wait for a second in total.
const MAX_POLLS: usize = 200;

/// A client that makes one call.
struct Caller {
    to: SocketAddrV4,
    request: String,
    decoder: HttpDecoder,
    reply: CallReply,
}

impl Plane for Caller {
    fn handle(&mut self, _: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => drop(commands.dial(self.to)),
            Event::Connected { conn } => commands.write(conn, &[self.request.as_bytes()]),
            Event::Received { bytes, .. } => {
                self.decoder.put(bytes);
                if let Ok(Some(response)) = self.decoder.next_response() {
                    let body = String::from_utf8_lossy(&response.body).into_owned();
                    self.reply.borrow_mut().get_or_insert((response.status, body));
                }
            }
            Event::Closed { .. } => drop(self.reply.borrow_mut().get_or_insert((0, String::new()))),
            _ => {}
        }
    }

    fn due(&self) -> Option<Timestamp> {
        None
    }
}

impl Deployment {
    /// Starts a call to a control machine; `request` is the HTTP request with its headers and body.
    pub fn start_call(&mut self, control: usize, request: &str) -> CallReply {
        let reply = CallReply::default();
        let caller = Caller {
            to: self.control_address(control),
            request: request.to_string(),
            decoder: HttpDecoder::default(),
            reply: reply.clone(),
        };
        let machine = self.simulation.add_machine("caller", Vec::new(), Rc::default(), TimeDelta::ZERO);
        self.simulation.start(machine, Box::new(caller));
        reply
    }

    /// Makes a call and waits up to a second for the response. Status 0 stands for no response.
    pub fn call(&mut self, control: usize, request: &str) -> (u16, String) {
        let reply = self.start_call(control, request);
        for _ in 0..MAX_POLLS {
            let until = self.simulation.now + POLL_INTERVAL;
            self.simulation.run_until(until);
            if let Some(reply) = reply.borrow().clone() {
                return reply;
            }
        }
        (0, String::new())
    }
}
