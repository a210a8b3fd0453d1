//! Sends orders to backend servers.

use crate::{
    config::Config,
    driver::{DriverHandle, Event},
    metrics::ControlMetrics,
};
use base::{limits::ORDER_TIMEOUT, secret::Secret};
use http::{Client, full};
use hyper::{Request, StatusCode, header::CONTENT_TYPE};
use model::{
    order::{ORDER_PATH, SECRET_HEADER},
    verdict::Verdict,
};
use net::{Pool, with_timeout};
use plan::{DueOrder, OrderOutcome};
use std::{fmt, sync::Arc};

/// Sends orders and reports each outcome as an event to the driver.
pub trait SendOrder: fmt::Debug + Send + Sync {
    /// Starts sending an order and returns at once.
    fn send(&self, due: DueOrder);
}

/// Sends orders over HTTP.
#[derive(Debug)]
pub struct HttpOrders {
    pool: Pool,
    client: Arc<Client>,
    secret: Secret,
    driver: DriverHandle,
    metrics: ControlMetrics,
}

impl HttpOrders {
    /// Creates a sender that connects from the address of this process.
    pub fn new(
        pool: Pool,
        config: &Config,
        driver: DriverHandle,
        metrics: ControlMetrics,
    ) -> HttpOrders {
        let from = config.peer_listen.ip();
        HttpOrders {
            pool,
            client: Arc::new(Client::new(pool, Some(from))),
            secret: config.secret.clone(),
            driver,
            metrics,
        }
    }
}

impl SendOrder for HttpOrders {
    fn send(&self, due: DueOrder) {
        self.metrics.orders_sent.inc();
        let (client, secret) = (self.client.clone(), self.secret.clone());
        let (driver, metrics) = (self.driver.clone(), self.metrics.clone());
        self.pool
            .spawn(async move {
                let (host, fence) = (due.order.host.clone(), due.order.fence);
                let verdict = with_timeout(ORDER_TIMEOUT, post(&client, &secret, &due))
                    .await
                    .unwrap_or(Verdict::MayHaveRun);
                if verdict != Verdict::Ran {
                    metrics.orders_failed.inc();
                }
                driver.send(Event::OrderOutcome(OrderOutcome { host, fence, verdict }));
            })
            .detach();
    }
}

async fn post(client: &Client, secret: &Secret, due: &DueOrder) -> Verdict {
    let body = serde_json::to_vec(&due.order).unwrap_or_default();
    let request = Request::post(ORDER_PATH)
        .header("host", due.address.to_string())
        .header(SECRET_HEADER, secret.text())
        .header(CONTENT_TYPE, "application/json")
        .body(full(body));
    let Ok(request) = request else {
        return Verdict::NotRun;
    };
    match client.send(due.address, request).await {
        Ok(response) if response.status() == StatusCode::OK => Verdict::Ran,
        // The server itself refused the order and did not execute it.
        Ok(response) if response.status().is_client_error() => Verdict::NotRun,
        Ok(_) => Verdict::MayHaveRun,
        Err(e) => e.verdict(),
    }
}
