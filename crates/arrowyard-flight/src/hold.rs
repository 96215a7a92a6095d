//! How much of a result is held before any of it is passed on. What is held whole can be repaired: a stream that is
//! cut was nobody's answer yet, and the op may be sent again. What is larger is passed on as it comes, and a cut is told.

/// The bytes of results that this router holds.
#[derive(Debug)]
pub struct Holds {
    /// Of one result, and of all together.
    each: usize,
    all: usize,
    used: usize,
    /// Results that were passed on before their end, for one reason or the other.
    pub long: u64,
    pub crowded: u64,
}

/// What becomes of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It is held with those before it.
    Hold,
    /// All that is held goes to the client, this one behind it, and from now on each as it comes.
    PassAll,
    Pass,
}

/// What a stream that breaks off means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nobody has seen any of it.
    Repair,
    /// The client has seen a part and has to be told.
    Tell,
}

/// One result on its way.
#[derive(Debug, Default)]
pub struct Hold {
    held: usize,
    passing: bool,
}

impl Holds {
    pub fn new(each: usize, all: usize) -> Self {
        Holds { each, all, used: 0, long: 0, crowded: 0 }
    }

    pub fn used(&self) -> usize {
        self.used
    }

    /// A batch of so many bytes has come.
    pub fn batch(&mut self, hold: &mut Hold, bytes: usize) -> Next {
        if hold.passing {
            return Next::Pass;
        }
        let then = hold.held.saturating_add(bytes);
        let (long, crowded) = (then > self.each, self.used.saturating_add(bytes) > self.all);
        if !long && !crowded {
            hold.held = then;
            self.used += bytes;
            return Next::Hold;
        }
        // Danger: many results at once, each within its bound, are more than the memory that there is.
        *(if long { &mut self.long } else { &mut self.crowded }) += 1;
        self.release(hold);
        hold.passing = true;
        Next::PassAll
    }

    /// The result was whole and went out, or was dropped.
    pub fn release(&mut self, hold: &mut Hold) {
        self.used -= std::mem::take(&mut hold.held);
    }
}

impl Hold {
    pub fn cut(&self) -> Cut {
        if self.passing { Cut::Tell } else { Cut::Repair }
    }

    pub fn held(&self) -> usize {
        self.held
    }
}
