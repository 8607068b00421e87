import java.util.ArrayList;
import java.util.List;

/** Builds configurations as the operator writes them. */
final class Configuration {

	static final String HOST = "site.example";

	final List<String> routes = new ArrayList<>();

	final List<String> services = new ArrayList<>();

	String tenants = "[{\"name\":\"office\",\"api_keys\":[\"key-of-office\"]}]";

	Configuration route(String name, String type, String service, int priority, int attempts, int objectiveMillis,
			int timeoutMillis, String more) {
		this.routes.add("{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name
				+ "/\",\"type\":\"" + type + "\",\"timeout_ms\":" + timeoutMillis + ",\"slo_ms\":" + objectiveMillis
				+ ",\"priority\":" + priority + ",\"service\":\"" + service + "\",\"attempts\":" + attempts + more
				+ "}");
		return this;
	}

	Configuration service(String name, int connections, String more) {
		this.services.add("{\"name\":\"" + name + "\",\"max_conns\":" + connections + more + "}");
		return this;
	}

	String text(int version) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", this.routes) + "],\"services\":["
				+ String.join(",", this.services) + "],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":"
				+ this.tenants + "}";
	}

}
