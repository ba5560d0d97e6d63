import type { Dispatcher } from "undici";
import { PeerUnavailableError } from "../errors/index.js";
import { createOutcome } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { createPeerError, peerProtocol } from "../peers/index.js";
import type { HttpPeerOptions, PeerConnections, PeerTraffic } from "../peers/index.js";
import type { CallerRequest } from "../requests/index.js";
import type { ServiceAnswer, ServiceRequest } from "../services/index.js";
import { closeUnusedBody, encodeJson } from "../utils/index.js";
import { decodeAnswerHead } from "./decodeAnswerHead.js";
import type { PeerAnswerHead } from "./PeerAnswerHead.js";
import type { PeerForwarder } from "./PeerForwarder.js";
import type { PeerRequestHead } from "./PeerRequestHead.js";
import { PeerRequestKind } from "./PeerRequestKind.js";

const OK_STATUS = 200;

/** Forwards requests to other entry hosts over persistent HTTP connections and streams the answers. */
export class HttpPeerForwarder implements PeerForwarder {
    readonly #connections: PeerConnections;
    readonly #secret: string;
    readonly #zoneHeaders: Readonly<Record<string, string>>;
    readonly #traffic: PeerTraffic | undefined;

    /** @param options - The connections, and the secret shared by all entry hosts. */
    constructor(options: HttpPeerOptions) {
        this.#connections = options.connections;
        this.#secret = options.secret;
        this.#zoneHeaders = options.zone === undefined ? {} : { [peerProtocol.zoneHeader]: options.zone };
        this.#traffic = options.traffic;
    }

    /**
     * Runs an attempt on another entry host in its role as service host.
     * @param address - The peer's address.
     * @param request - The request.
     * @param signal - Aborts the attempt.
     */
    async runService(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        const { body, ...head } = request;
        const answer = await this.#send(address, { kind: PeerRequestKind.Service, request: head }, body, signal);
        const answerHead = this.#getAnswerHead(address, answer);
        const { capacity, usualMs, otherUpstreams, lostAttempts } = answerHead;
        return {
            outcome: createOutcome(answerHead.outcome, answer.body),
            upstream: answerHead.upstream,
            ...(otherUpstreams === undefined ? {} : { otherUpstreams }),
            isCrashSuspected: answerHead.isCrashSuspected ?? false,
            ...(lostAttempts === undefined ? {} : { lostAttempts }),
            freeSlots: answerHead.freeSlots ?? 0,
            queued: answerHead.queued ?? 0,
            ...(capacity === undefined ? {} : { capacity }),
            ...(usualMs === undefined ? {} : { usualMs }),
            otherLoads: answerHead.otherLoads ?? [],
            notices: answerHead.notices ?? [],
        };
    }

    /**
     * Runs a caller's request on another entry host in its role as account host.
     * @param address - The peer's address.
     * @param request - The request.
     * @param signal - Aborts the request.
     */
    async runAccount(address: string, request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        const { body, account, route, ...rest } = request;
        const head: PeerRequestHead = {
            kind: PeerRequestKind.Account,
            request: rest,
            account: account?.name,
            route: route.name,
        };
        const answer = await this.#send(address, head, body, signal);
        return createOutcome(this.#getAnswerHead(address, answer).outcome, answer.body);
    }

    async #send(
        address: string,
        head: PeerRequestHead,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<Dispatcher.ResponseData> {
        const encodedHead = encodeJson(head);
        this.#traffic?.recordRequest(address, encodedHead.length + body.length);
        try {
            return await this.#connections.get(address).request({
                method: "POST",
                path: peerProtocol.forwardPath,
                headers: {
                    [peerProtocol.secretHeader]: this.#secret,
                    [peerProtocol.requestHeader]: encodedHead,
                    ...this.#zoneHeaders,
                },
                body,
                signal,
            });
        }
        catch (error) {
            throw createPeerError(address, error);
        }
    }

    #getAnswerHead(address: string, answer: Dispatcher.ResponseData): PeerAnswerHead {
        const field = answer.headers[peerProtocol.answerHeader];
        if (answer.statusCode !== OK_STATUS || typeof field !== "string") {
            closeUnusedBody(answer.body);
            throw new PeerUnavailableError(`${address}: status ${answer.statusCode} without an answer.`, false);
        }
        try {
            return decodeAnswerHead(field);
        }
        catch (error) {
            closeUnusedBody(answer.body);
            throw new PeerUnavailableError(`${address}: an answer without an outcome.`, false, { cause: error });
        }
    }
}
