//! Memory limits for buffered results. The client has seen nothing of a buffered result, so that its op can
//! be retried after an interruption; the interruption of a streamed result is reported to the client.

/// The memory of all buffered results of this router.
#[derive(Debug)]
pub struct ResultBuffers {
    max_result_bytes: usize,
    max_total_bytes: usize,
    used_bytes: usize,
    /// Results that were streamed because they exceeded the limit of one result.
    pub exceeded_result_limit: u64,
    /// Results that were streamed because all buffered results together exceeded the total limit.
    pub exceeded_total_limit: u64,
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchAction {
    /// Append it to the buffer.
    Buffer,
    /// Send the buffered batches and then this one to the client, and stream from now on.
    Flush,
    /// Send it to the client.
    Stream,
}

/// How to handle the interruption of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The client has seen nothing of the result, so that the op may be retried.
    Retry,
    /// The client has seen a part and must get an error.
    Report,
}

/// The buffer of one result.
#[derive(Debug, Default)]
pub struct ResultBuffer {
    buffered_bytes: usize,
    streaming: bool,
}

impl ResultBuffers {
    /// Limits one result to `max_result_bytes`, and all results together to `max_total_bytes`.
    pub fn new(max_result_bytes: usize, max_total_bytes: usize) -> Self {
        ResultBuffers {
            max_result_bytes,
            max_total_bytes,
            used_bytes: 0,
            exceeded_result_limit: 0,
            exceeded_total_limit: 0,
        }
    }

    /// The bytes of all buffered results.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Accounts for a received batch of the result and decides what to do with it.
    pub fn add_batch(&mut self, buffer: &mut ResultBuffer, bytes: usize) -> BatchAction {
        if buffer.streaming {
            return BatchAction::Stream;
        }
        let buffered_bytes = buffer.buffered_bytes.saturating_add(bytes);
        let (exceeds_result, exceeds_total) = (
            buffered_bytes > self.max_result_bytes,
            self.used_bytes.saturating_add(bytes) > self.max_total_bytes,
        );
        if !exceeds_result && !exceeds_total {
            buffer.buffered_bytes = buffered_bytes;
            self.used_bytes += bytes;
            return BatchAction::Buffer;
        }
        // Without the limit on the total, many results within their own limit would exhaust the memory.
        *(if exceeds_result { &mut self.exceeded_result_limit } else { &mut self.exceeded_total_limit }) += 1;
        self.release(buffer);
        buffer.streaming = true;
        BatchAction::Flush
    }

    /// Releases the memory of a result that was sent or dropped.
    pub fn release(&mut self, buffer: &mut ResultBuffer) {
        self.used_bytes -= std::mem::take(&mut buffer.buffered_bytes);
    }
}

impl ResultBuffer {
    /// How to handle an interruption of the result at this point.
    pub fn on_interruption(&self) -> Interruption {
        if self.streaming { Interruption::Report } else { Interruption::Retry }
    }

    /// The bytes of the buffered batches.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }
}
