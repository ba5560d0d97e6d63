import { getPath, RefusalError } from "../callers/index.js";
import { RouteAccess } from "../configuration/index.js";
import type { Account, Route, SuppliedConfiguration } from "../configuration/index.js";
import { RefusalReason } from "../outcomes/index.js";
import type { AuthorizedRoute } from "./AuthorizedRoute.js";
import type { GatewayRequest } from "./GatewayRequest.js";

/**
 * Finds the route and the client account of a request; throws a RefusalError if no route matches or the key is invalid.
 * @param configuration - The configuration in force.
 * @param request - The request.
 */
export function findAuthorizedRoute(configuration: SuppliedConfiguration, request: GatewayRequest): AuthorizedRoute {
    const route = findRoute(configuration, request);
    return { route, account: findAccount(configuration, route, request.key) };
}

function findRoute(configuration: SuppliedConfiguration, request: GatewayRequest): Route {
    const route = configuration.findRoute(getPath(request.target), request.host);
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
