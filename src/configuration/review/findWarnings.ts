import type { Account } from "../Account.js";
import type { Route } from "../Route.js";
import type { ConfigurationRemark } from "./ConfigurationRemark.js";
import { ConfigurationTable } from "./ConfigurationTable.js";
import type { ReviewedConfiguration } from "./ReviewedConfiguration.js";

/**
 * Finds entries that hosts can serve and that can't do what they say: those that nothing reaches, and limits that contradict each other.
 * @param configuration - The configuration.
 */
export function findWarnings(configuration: ReviewedConfiguration): readonly ConfigurationRemark[] {
    const { accounts, routes, services } = configuration;
    const createRemarks = (table: ConfigurationTable, name: string, messages: readonly string[]) =>
        messages.map(message => ({ table, name, message }));
    return [
        ...accounts.flatMap(account =>
            createRemarks(ConfigurationTable.Accounts, account.name, [
                ...findAccountWarnings(account),
                ...findKeyWarnings(account, configuration),
            ])
        ),
        ...routes.flatMap((route, index) =>
            createRemarks(ConfigurationTable.Routes, route.name, [
                ...findHidingRoutes(route, routes.slice(0, index)).map(({ name }) =>
                    `no request reaches it: the route ${JSON.stringify(name)} has the same host and prefix`
                ),
                ...findRouteWarnings(route, configuration),
            ])
        ),
        ...services.filter(({ name }) => !isUsed(name, routes)).map(({ name }) => ({
            table: ConfigurationTable.Services,
            name,
            message: "no route sends requests to it",
        })),
    ];
}

function findAccountWarnings({ rate, burst }: Account): readonly string[] {
    return rate > 0 && burst < 1 ? [`its burst of ${burst} admits no request`] : [];
}

function findKeyWarnings({ name }: Account, { accountsByKey }: ReviewedConfiguration): readonly string[] {
    return [...accountsByKey.values()].includes(name) ? [] : ["it has no key of its own, so that no request is for it"];
}

/** Of routes with the same host and prefix, the first one gets all requests. */
function findHidingRoutes(route: Route, earlier: readonly Route[]): readonly Route[] {
    const getHost = ({ host }: Route): string => (host ?? "").toLowerCase();
    return earlier.filter(other => other.path === route.path && getHost(other) === getHost(route)).slice(0, 1);
}

function findRouteWarnings(route: Route, { services }: ReviewedConfiguration): readonly string[] {
    const { targetMs, deadlineMs, split, defect } = route;
    if (defect !== undefined) {
        return [];
    }
    const unknown = getServices(route).filter(name => !services.some(service => service.name === name));
    const unused = (split ?? []).filter(({ weight }) => weight === 0);
    return [
        ...unknown.map(name => `there is no service ${JSON.stringify(name)}`),
        ...unused.map(({ service }) => `the service ${JSON.stringify(service)} has the weight 0 and gets no requests`),
        ...(targetMs !== undefined && targetMs > deadlineMs
            ? [`its target of ${targetMs} ms is above its time limit of ${deadlineMs} ms`]
            : []),
    ];
}

function isUsed(service: string, routes: readonly Route[]): boolean {
    return routes.some(route => getServices(route).includes(service));
}

function getServices({ service, split }: Route): readonly string[] {
    return split === undefined ? [service] : split.map(share => share.service);
}
