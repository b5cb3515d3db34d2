import java.util.ArrayList;
import java.util.List;

/** A client without streaming asks for a tool's call, before and after the engines move to another request format. */
final class Tools {

    private static final String ARGUMENTS = "{\\\"title\\\":\\\"Moby Dick\\\",\\\"price\\\":12}";
    private static final String BODY = "{\"model\":\"shelf-listing\",\"stream\":false,\"max_tokens\":100,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"post a listing for Moby Dick at 12\"}],"
            + "\"tools\":[{\"type\":\"function\",\"function\":{\"name\":\"post_listing\",\"parameters\":{\"type\":\"object\","
            + "\"properties\":{\"title\":{\"type\":\"string\"},\"price\":{\"type\":\"number\"}}}}}]}";
    private static final int REQUESTS = 5;
    private static final List<String> VIOLATIONS = new ArrayList<>();

    private Tools() {}

    public static void main(String[] arguments) throws Exception {
        Stand.begin(arguments[0]);
        Stand.Fleet fleet = new Stand.Fleet();
        fleet.add("reader-1", "prompt", 1, Stand.reader(0.05));
        fleet.add("writer-1", "answer", 1, writer());
        Stand.Discovery discovery = new Stand.Discovery(fleet);
        Stand.Gateway gateway = new Stand.Gateway("n0", discovery, Stand.temporaryFolder());
        gateway.environment.put("CHAT_KEY", "secret");
        serve(gateway, "old", "responses");
        if (Stand.TROUBLE) {
            Stand.log("the engines move to the chat format, and the operator applies the file that says so");
            serve(gateway, "new", "chat");
        } else {
            serve(gateway, "old", "responses");
        }
        Stand.verdict(VIOLATIONS);
    }

    private static void serve(Stand.Gateway gateway, String generation, String format) throws Exception {
        gateway.apply("[keys.CHAT_KEY]\ntenant = \"salamanca-pages\"\n[models.shelf-listing]\nclass = \"listing\"\n"
                + "[generations." + generation + "]\nformat = \"" + format + "\"\n");
        gateway.start();
        for (int number = 0; number < REQUESTS; number++) {
            Stand.Result result = Stand.ask(
                    gateway.chatPort,
                    "listing",
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n"
                            + "Content-Type: application/json\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY,
                    12);
            Stand.log("engines speak " + format + ": client got " + result.status() + " " + result.text());
            boolean served = result.status() == 200;
            boolean hasCall = result.text().contains("\"tool_calls\":[") && result.text().contains("post_listing")
                    && result.text().contains(ARGUMENTS);
            if (served && !hasCall) {
                VIOLATIONS.add("engines speak " + format
                        + ": served without the tool's call that the engine wrote: " + result.text());
            } else if (!served) {
                Stand.log("not served; not judged");
            }
        }
        gateway.kill();
    }

    /** Writes the call of a tool in the format of the path that it is asked at. */
    private static Stand.Behaviour writer() {
        return (engine, request, socket, out) -> {
            if (engine.fleet.states.remove(request.id()) == null) {
                Stand.write(out, Stand.answer(410, "X-Not-Processed: 1\r\n", ""));
                return;
            }
            String events = request.path().equals("/v1/responses") ? responsesCall() : chatCall();
            Stand.log(engine.name + " writes " + events.replace("\n", " "));
            Stand.write(out, Stand.STREAM_HEAD + Stand.chunk(events) + Stand.LAST_CHUNK);
        };
    }

    private static String chatCall() {
        String head = "data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\","
                + "\"choices\":[{\"index\":0,\"delta\":";
        return head + "{\"role\":\"assistant\",\"content\":null,\"tool_calls\":[{\"index\":0,\"id\":\"call_1\","
                + "\"type\":\"function\",\"function\":{\"name\":\"post_listing\",\"arguments\":\"\"}}]},"
                + "\"finish_reason\":null}]}\n\n"
                + head + "{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\"" + ARGUMENTS + "\"}}]},"
                + "\"finish_reason\":null}]}\n\n"
                + head + "{},\"finish_reason\":\"tool_calls\"}]}\n\n"
                + Stand.USAGE + "data: [DONE]\n\n";
    }

    private static String responsesCall() {
        String call = "{\"id\":\"fc_1\",\"type\":\"function_call\",\"call_id\":\"call_1\",\"name\":\"post_listing\","
                + "\"status\":\"completed\",\"arguments\":\"";
        String response = "{\"id\":\"resp_1\",\"object\":\"response\",\"created_at\":1,\"model\":\"m\",\"status\":";
        return Stand.typed("response.created", "\"response\":" + response + "\"in_progress\",\"output\":[]}")
                + Stand.typed("response.output_item.added", "\"output_index\":0,\"item\":" + call + "\"}")
                + Stand.typed(
                        "response.function_call_arguments.delta",
                        "\"item_id\":\"fc_1\",\"output_index\":0,\"delta\":\"" + ARGUMENTS + "\"")
                + Stand.typed(
                        "response.function_call_arguments.done",
                        "\"item_id\":\"fc_1\",\"output_index\":0,\"arguments\":\"" + ARGUMENTS + "\"")
                + Stand.typed("response.output_item.done", "\"output_index\":0,\"item\":" + call + ARGUMENTS + "\"}")
                + Stand.typed(
                        "response.completed",
                        "\"response\":" + response + "\"completed\",\"output\":[" + call + ARGUMENTS
                                + "\"}],\"usage\":{\"input_tokens\":9,\"output_tokens\":2,\"total_tokens\":11}}");
    }
}
