//! Authentication of calls by bearer token.

use std::sync::Arc;

use rocket::Request;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};

use super::context::ApiContext;
use super::token::holder;
use crate::event::{Entry, Kind};

/// Holder of a valid bearer token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Principal {
    /// An operator of the settings.
    Operator(String),
    /// A team of the declarations.
    Team(String),
}

/// An operator; a team's token is refused.
pub(super) struct Operator(pub(super) String);

impl Principal {
    /// Whether the holder may read and cancel jobs of `team`.
    pub(super) fn may_handle(&self, team: &str) -> bool {
        match self {
            Self::Operator(_) => true,
            Self::Team(own) => own == team,
        }
    }

    fn authenticate(request: &Request<'_>) -> Option<Self> {
        let context = request.rocket().state::<Arc<ApiContext>>()?;
        let header = request.headers().get_one("Authorization")?;
        let (scheme, token) = header.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let token = token.trim();
        if let Some(name) = holder(token, context.operators()) {
            return Some(Self::Operator(name.to_owned()));
        }
        let declarations = context.current.load();
        let teams = declarations.teams.iter();
        let teams = teams.map(|(name, team)| (name.as_str(), team.token_digest.as_str()));
        holder(token, teams).map(|name| Self::Team(name.to_owned()))
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Principal {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        match Self::authenticate(request) {
            Some(principal) => Outcome::Success(principal),
            None => {
                reject(request, "no valid token");
                Outcome::Error((Status::Unauthorized, ()))
            }
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        match Principal::authenticate(request) {
            Some(Principal::Operator(name)) => Outcome::Success(Self(name)),
            Some(Principal::Team(team)) => {
                reject(request, &format!("a token of team {team}"));
                Outcome::Error((Status::Forbidden, ()))
            }
            None => {
                reject(request, "no valid token");
                Outcome::Error((Status::Unauthorized, ()))
            }
        }
    }
}

fn reject(request: &Request<'_>, reason: &str) {
    Entry::new(Kind::OperatorRejected)
        .with("from", request.remote())
        .with("method", request.method().as_str())
        .with("path", request.uri().path().as_str())
        .with("reason", reason)
        .emit();
}
