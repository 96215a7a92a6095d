//! Calls of hosts and operators, one at a time, made by hand.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_runtime::http::HttpDecoder;
use arrowyard_runtime::{Commands, Event, Plane};
use arrowyard_types::{TimeDelta, Timestamp};

use crate::system::System;

/// What a call was answered: its status and body; status 0 for a connection that ended without an answer.
pub type CallAnswer = Rc<RefCell<Option<(u16, String)>>>;

/// A call is looked at so often, and waited for so often at most: a second.
const LOOK: TimeDelta = TimeDelta::from_millis(5);
const LOOKS: usize = 200;

/// Makes one call.
struct Caller {
    to: SocketAddrV4,
    text: String,
    messages: HttpDecoder,
    answer: CallAnswer,
}

impl Plane for Caller {
    fn handle(&mut self, _: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => drop(commands.dial(self.to)),
            Event::Connected { conn } => commands.write(conn, &[self.text.as_bytes()]),
            Event::Received { bytes, .. } => {
                self.messages.put(bytes);
                if let Ok(Some(response)) = self.messages.next_response() {
                    let body = String::from_utf8_lossy(&response.body).into_owned();
                    self.answer.borrow_mut().get_or_insert((response.status, body));
                }
            }
            Event::Closed { .. } => drop(self.answer.borrow_mut().get_or_insert((0, String::new()))),
            _ => {}
        }
    }

    fn due(&self) -> Option<Timestamp> {
        None
    }
}

impl System {
    /// Begins a call at a control machine, with the whole text of its request.
    pub fn begin_call(&mut self, control: usize, text: &str) -> CallAnswer {
        let answer = CallAnswer::default();
        let caller = Caller {
            to: self.control_address(control),
            text: text.to_string(),
            messages: HttpDecoder::default(),
            answer: answer.clone(),
        };
        let machine = self.world.add("caller", Vec::new(), Rc::default(), TimeDelta::ZERO);
        self.world.start(machine, Box::new(caller));
        answer
    }

    /// Makes a call and waits for its answer, a second at most; status 0 stands for none.
    pub fn call(&mut self, control: usize, text: &str) -> (u16, String) {
        let answer = self.begin_call(control, text);
        for _ in 0..LOOKS {
            let until = self.world.now + LOOK;
            self.world.run(until);
            if let Some(answer) = answer.borrow().clone() {
                return answer;
            }
        }
        (0, String::new())
    }
}
