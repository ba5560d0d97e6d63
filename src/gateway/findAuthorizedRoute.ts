import { getPath, RefusalError } from "../callers/index.js";
import { RouteAccess } from "../configuration/index.js";
import type { Account, Route, SuppliedConfiguration } from "../configuration/index.js";
import { RefusalReason } from "../outcomes/index.js";
import type { AuthorizedRoute } from "./AuthorizedRoute.js";
import type { GatewayRequest } from "./GatewayRequest.js";

/**
 * Finds the route and the client account of a request; throws a RefusalError if no route matches, the key is invalid, or the
 * configuration's entry of either can't be served.
 * @param configuration - The configuration in force.
 * @param request - The request.
 */
export function findAuthorizedRoute(configuration: SuppliedConfiguration, request: GatewayRequest): AuthorizedRoute {
    const route = findRoute(configuration, request);
    checkDefect(`Route ${route.name}`, route.defect);
    const account = findAccount(configuration, route, request.key);
    checkDefect(`Account ${account?.name}`, account?.defect);
    return { route, account };
}

function checkDefect(entry: string, defect: string | undefined): void {
    if (defect !== undefined) {
        throw new RefusalError(RefusalReason.EntryDefective, `${entry} can't be served: ${defect}.`);
    }
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
