// The part of undici that the gateway uses. Its main file also loads fetch, WebSocket, caches and mocks, two thirds of its code.
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");
const api = require("undici/lib/api");
const buildConnector = require("undici/lib/core/connect");

Object.assign(Dispatcher.prototype, api);
module.exports = { buildConnector, Client, Pool };
