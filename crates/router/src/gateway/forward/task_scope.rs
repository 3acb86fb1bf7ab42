//! Tasks of one connection, which can be ended together.

use hyper::rt::Executor;
use tokio_util::sync::CancellationToken;

/// Tasks of one connection. The HTTP library spawns one for the connection and one for each request.
/// Without a common end, those of a silent connection would wait until TCP gives up, after minutes.
#[derive(Clone, Default)]
pub struct TaskScope(CancellationToken);

impl TaskScope {
    /// Drops all tasks, and with them the connection.
    pub fn end(&self) {
        self.0.cancel();
    }
}

impl<F> Executor<F> for TaskScope
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, task: F) {
        let token = self.0.clone();
        tokio::spawn(async move {
            // The result is needed by nobody, whether or not the task ended by itself.
            let _ = token.run_until_cancelled(task).await;
        });
    }
}
