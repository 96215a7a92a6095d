use arrowyard_types::*;
pub struct Router;
impl Router {
    pub fn start(_: Point, _: u64, _: &Manifest, _: &mut Vec<Action>) -> Self {
        Router
    }
    pub fn take(&mut self, _: Point, note: Note, out: &mut Vec<Action>) {
        if let Note::Asked(ask) = note {
            out.push(Action::ErrorReply { op: ask.op })
        }
    }
}
