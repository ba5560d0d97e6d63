import { RefusalError } from "../callers/index.js";
import { RouteAccess } from "../configuration/index.js";
import type { Account, Route, SuppliedConfiguration } from "../configuration/index.js";
import { RefusalReason } from "../outcomes/index.js";
import type { AuthorizedRoute } from "./AuthorizedRoute.js";
import type { GatewayRequest } from "./GatewayRequest.js";

/**
 * Finds the route and the client account of a request; throws a RefusalError if the configuration has none.
 * @param configuration - The configuration in force.
 * @param call - The request.
 */
export function findAuthorizedRoute(configuration: SuppliedConfiguration, call: GatewayRequest): AuthorizedRoute {
    const route = findRoute(configuration, call);
    return { route, account: findAccount(configuration, route, call.key) };
}

function findRoute(configuration: SuppliedConfiguration, call: GatewayRequest): Route {
    const route = configuration.findRoute(call.target.split("?", 1)[0]!, call.host);
    if (route === undefined) {
        throw new RefusalError(RefusalReason.UnknownRoute, "There is no route for this host and path.");
    }
    return route;
}

function findAccount(configuration: SuppliedConfiguration, route: Route, key: string | undefined): Account | undefined {
    const account = key === undefined ? undefined : configuration.findAccountByKey(key);
    if (account === undefined && route.access !== RouteAccess.Open) {
        throw new RefusalError(RefusalReason.UnknownKey, "This route needs a valid key.");
    }
    return account;
}
